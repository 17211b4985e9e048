package io.hornbeamscale.measure.distribute;

import io.hornbeamscale.core.distribute.ConfigMessage;
import io.hornbeamscale.core.distribute.ConfigPeer;
import io.hornbeamscale.core.distribute.ConfigSnapshot;
import io.hornbeamscale.core.distribute.ConfigSnapshotDelta;
import io.hornbeamscale.core.distribute.DistributionAction;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Simulates distributors, a network with delay and loss, and a store on a simulated clock. */
final class DistributionSimulation {
    static final List<RegionId> REGIONS = List.of(new RegionId("r0"), new RegionId("r1"), new RegionId("r2"));

    private static final long TICK_INTERVAL_MILLIS = 100;
    private static final long STORE_TIMEOUT_MILLIS = 2_000;
    private static final long CROSS_REGION_DELAY_MILLIS = 30;
    /** The frame header, type, version and addresses of a message. */
    private static final int MESSAGE_OVERHEAD_BYTES = 48;
    /** The length fields of an entity. */
    private static final int ENTITY_OVERHEAD_BYTES = 6;

    final EventQueue queue = new EventQueue();
    final SimulatedDocumentStore store = new SimulatedDocumentStore();
    final List<SimulatedNode> nodes = new ArrayList<>();
    final Random random;
    long bytes;
    long crossRegionBytes;
    long messages;
    long reversions;
    long wrongContents;
    private final Map<NodeId, SimulatedNode> byId = new HashMap<>();
    private final Set<RegionId> isolatedRegions = new HashSet<>();
    private final int lossPerMille;
    private long storeDelayMillis = 3;

    DistributionSimulation(long seed, int size, int lossPerMille) {
        this.random = new Random(seed);
        this.lossPerMille = lossPerMille;
        for (int i = 0; i < size; i++) {
            // Half of the nodes are in the region of the store, a quarter in each of the others.
            RegionId region = REGIONS.get(i % 4 < 2 ? 0 : i % 4 - 1);
            SimulatedNode node = new SimulatedNode(this, new ConfigPeer(new NodeId("n" + i), region), seed * 1_000 + i);
            nodes.add(node);
            byId.put(node.peer.node(), node);
        }
    }

    void startAll() {
        for (SimulatedNode node : nodes) {
            node.start();
        }
        nodes.forEach(SimulatedNode::refreshPeers);
    }

    void scheduleTick(SimulatedNode node, long incarnation) {
        queue.after(TICK_INTERVAL_MILLIS / 2 + random.nextInt((int) TICK_INTERVAL_MILLIS), () -> {
            if (node.isUp && node.incarnation == incarnation) {
                node.run(node.distributor.tick(queue.now()));
                scheduleTick(node, incarnation);
            }
        });
    }

    void setIsolated(RegionId region, boolean isIsolated) {
        if (isIsolated) {
            isolatedRegions.add(region);
        } else {
            isolatedRegions.remove(region);
        }
    }

    void setStoreDelay(long millis) {
        storeDelayMillis = millis;
    }

    boolean isReachable(RegionId a, RegionId b) {
        return a.equals(b) || (!isolatedRegions.contains(a) && !isolatedRegions.contains(b));
    }

    /** Publishes from a node, based on the revision that it read. The node learns nothing if the response is lost. */
    void publish(SimulatedNode publisher, long expectedRevision, ConfigSnapshot next, boolean losesResponse) {
        store.countCall();
        if (store.isDown() || !isReachable(publisher.peer.region(), REGIONS.get(0))) {
            return;
        }
        long incarnation = publisher.incarnation;
        queue.after(storeDelay(publisher), () -> {
            boolean isSwapped = !store.isDown() && store.compareAndSwap(expectedRevision, next);
            boolean isAlive = publisher.isUp && publisher.incarnation == incarnation;
            if (isSwapped && isAlive && !losesResponse) {
                publisher.run(publisher.distributor.published(next, queue.now()));
            }
        });
    }

    void send(SimulatedNode from, NodeId to, ConfigMessage message) {
        SimulatedNode target = byId.get(to);
        int size = encodedBytes(message);
        bytes += size;
        from.sentBytes += size;
        messages++;
        boolean isCrossRegion = !from.peer.region().equals(target.peer.region());
        if (isCrossRegion) {
            crossRegionBytes += size;
        }
        boolean isLost = random.nextInt(1_000) < lossPerMille;
        if (isLost || !isReachable(from.peer.region(), target.peer.region())) {
            return;
        }
        long incarnation = target.incarnation;
        long delay = (isCrossRegion ? CROSS_REGION_DELAY_MILLIS : 1) + random.nextInt(5);
        queue.after(delay, () -> {
            if (target.isUp && target.incarnation == incarnation) {
                target.receivedBytes += size;
                target.run(target.distributor.received(from.peer.node(), message, queue.now()));
            }
        });
    }

    void callStore(SimulatedNode node, DistributionAction action) {
        store.countCall();
        long incarnation = node.incarnation;
        if (store.isDown() || !isReachable(node.peer.region(), REGIONS.get(0))) {
            queue.after(STORE_TIMEOUT_MILLIS, () -> node.ifSameIncarnation(incarnation, node::storeFailed));
            return;
        }
        queue.after(storeDelay(node), () -> serve(node, incarnation, action));
    }

    private void serve(SimulatedNode node, long incarnation, DistributionAction action) {
        if (action instanceof DistributionAction.CheckRevision) {
            long revision = store.revision();
            queue.after(
                    storeDelay(node), () -> node.ifSameIncarnation(incarnation, () -> node.storeRevision(revision)));
        } else if (action instanceof DistributionAction.ReadStore) {
            deliver(node, incarnation, store.read());
        } else if (action instanceof DistributionAction.WatchStore watch) {
            watch(node, incarnation, watch);
        }
    }

    private void watch(SimulatedNode node, long incarnation, DistributionAction.WatchStore watch) {
        if (store.revision() > watch.afterRevision()) {
            deliver(node, incarnation, store.latest());
            return;
        }
        SimulatedDocumentStore.Watch pending = store.watch(() -> deliver(node, incarnation, store.latest()));
        queue.after(watch.waitMillis(), () -> {
            if (store.remove(pending)) {
                node.ifSameIncarnation(incarnation, node::storeUnchanged);
            }
        });
    }

    private void deliver(SimulatedNode node, long incarnation, ConfigSnapshot snapshot) {
        int size = encodedBytes(new ConfigMessage.Whole(snapshot, false));
        queue.after(storeDelay(node), () -> {
            boolean isDisconnected = store.isDown() || !isReachable(node.peer.region(), REGIONS.get(0));
            if (!isDisconnected && !node.peer.region().equals(REGIONS.get(0))) {
                crossRegionBytes += size;
            }
            node.receivedBytes += isDisconnected ? 0 : size;
            node.ifSameIncarnation(incarnation, isDisconnected ? node::storeFailed : () -> node.storeValue(snapshot));
        });
    }

    private long storeDelay(SimulatedNode node) {
        long networkMillis = node.peer.region().equals(REGIONS.get(0)) ? 1 : CROSS_REGION_DELAY_MILLIS;
        return networkMillis + storeDelayMillis + random.nextInt((int) storeDelayMillis + 1);
    }

    static int encodedBytes(ConfigMessage message) {
        if (message instanceof ConfigMessage.Delta delta) {
            ConfigSnapshotDelta content = delta.delta();
            int size = MESSAGE_OVERHEAD_BYTES + entitiesBytes(content.changed());
            for (String name : content.removed()) {
                size += name.length() + ENTITY_OVERHEAD_BYTES;
            }
            return size;
        }
        if (message instanceof ConfigMessage.Whole whole) {
            return MESSAGE_OVERHEAD_BYTES + entitiesBytes(whole.snapshot().entities());
        }
        return MESSAGE_OVERHEAD_BYTES;
    }

    private static int entitiesBytes(Map<String, String> entities) {
        int size = 0;
        for (Map.Entry<String, String> entity : entities.entrySet()) {
            size += entity.getKey().length() + entity.getValue().length() + ENTITY_OVERHEAD_BYTES;
        }
        return size;
    }
}
