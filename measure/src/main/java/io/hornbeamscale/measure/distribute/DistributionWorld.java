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

/** Distributors, a network with delay and loss, and a store, on a manual clock. */
final class DistributionWorld {
    static final List<RegionId> REGIONS = List.of(new RegionId("r0"), new RegionId("r1"), new RegionId("r2"));

    private static final long TICK_MILLIS = 100;
    private static final long STORE_BUDGET_MILLIS = 2_000;
    private static final long LINK_DELAY_MILLIS = 30;
    /** Frame, type, version and addressing of a message, in bytes. */
    private static final int MESSAGE_BYTES = 48;
    /** Length fields of one entity, in bytes. */
    private static final int ENTITY_BYTES = 6;

    final EventQueue queue = new EventQueue();
    final StoreModel store = new StoreModel();
    final List<SimNode> nodes = new ArrayList<>();
    final Random random;
    long bytes;
    long linkBytes;
    long messages;
    long reversions;
    long wrongContents;
    private final Map<NodeId, SimNode> byId = new HashMap<>();
    private final Set<RegionId> cutOff = new HashSet<>();
    private final int lossPerMille;
    private long storeDelayMillis = 3;

    DistributionWorld(long seed, int size, int lossPerMille) {
        this.random = new Random(seed);
        this.lossPerMille = lossPerMille;
        for (int i = 0; i < size; i++) {
            // Half of the nodes are in the region of the store, a quarter in each of the others.
            RegionId region = REGIONS.get(i % 4 < 2 ? 0 : i % 4 - 1);
            SimNode node = new SimNode(this, new ConfigPeer(new NodeId("n" + i), region), seed * 1_000 + i);
            nodes.add(node);
            byId.put(node.peer.node(), node);
        }
    }

    void startAll() {
        for (SimNode node : nodes) {
            node.start();
        }
        nodes.forEach(SimNode::refreshPeers);
    }

    void tickLater(SimNode node, long incarnation) {
        queue.after(TICK_MILLIS / 2 + random.nextInt((int) TICK_MILLIS), () -> {
            if (node.isUp && node.incarnation == incarnation) {
                node.run(node.distributor.tick(queue.now()));
                tickLater(node, incarnation);
            }
        });
    }

    void cutOff(RegionId region, boolean isCut) {
        if (isCut) {
            cutOff.add(region);
        } else {
            cutOff.remove(region);
        }
    }

    void storeDelay(long millis) {
        storeDelayMillis = millis;
    }

    boolean isReachable(RegionId a, RegionId b) {
        return a.equals(b) || (!cutOff.contains(a) && !cutOff.contains(b));
    }

    /** Publishes from a node on top of the revision that it read; a lost response leaves the node uninformed. */
    void publish(SimNode publisher, long expectedRevision, ConfigSnapshot next, boolean losesResponse) {
        store.count();
        if (store.isDown() || !isReachable(publisher.peer.region(), REGIONS.get(0))) {
            return;
        }
        long incarnation = publisher.incarnation;
        queue.after(storeDelay(publisher), () -> {
            boolean isSwapped = !store.isDown() && store.swap(expectedRevision, next);
            boolean isAlive = publisher.isUp && publisher.incarnation == incarnation;
            if (isSwapped && isAlive && !losesResponse) {
                publisher.run(publisher.distributor.published(next, queue.now()));
            }
        });
    }

    void send(SimNode from, NodeId to, ConfigMessage message) {
        SimNode target = byId.get(to);
        int size = size(message);
        bytes += size;
        from.sentBytes += size;
        messages++;
        boolean isLink = !from.peer.region().equals(target.peer.region());
        if (isLink) {
            linkBytes += size;
        }
        boolean isLost = random.nextInt(1_000) < lossPerMille;
        if (isLost || !isReachable(from.peer.region(), target.peer.region())) {
            return;
        }
        long incarnation = target.incarnation;
        long delay = (isLink ? LINK_DELAY_MILLIS : 1) + random.nextInt(5);
        queue.after(delay, () -> {
            if (target.isUp && target.incarnation == incarnation) {
                target.receivedBytes += size;
                target.run(target.distributor.received(from.peer.node(), message, queue.now()));
            }
        });
    }

    void callStore(SimNode node, DistributionAction action) {
        store.count();
        long incarnation = node.incarnation;
        if (store.isDown() || !isReachable(node.peer.region(), REGIONS.get(0))) {
            queue.after(STORE_BUDGET_MILLIS, () -> node.ifStill(incarnation, node::storeFailed));
            return;
        }
        queue.after(storeDelay(node), () -> serve(node, incarnation, action));
    }

    private void serve(SimNode node, long incarnation, DistributionAction action) {
        if (action instanceof DistributionAction.CheckRevision) {
            long revision = store.revision();
            queue.after(storeDelay(node), () -> node.ifStill(incarnation, () -> node.storeRevision(revision)));
        } else if (action instanceof DistributionAction.ReadStore) {
            deliver(node, incarnation, store.read());
        } else if (action instanceof DistributionAction.WatchStore watch) {
            watch(node, incarnation, watch);
        }
    }

    private void watch(SimNode node, long incarnation, DistributionAction.WatchStore watch) {
        if (store.revision() > watch.afterRevision()) {
            deliver(node, incarnation, store.latest());
            return;
        }
        StoreModel.Watch pending = store.watch(() -> deliver(node, incarnation, store.latest()));
        queue.after(watch.waitMillis(), () -> {
            if (store.remove(pending)) {
                node.ifStill(incarnation, node::storeUnchanged);
            }
        });
    }

    private void deliver(SimNode node, long incarnation, ConfigSnapshot snapshot) {
        int size = size(new ConfigMessage.Whole(snapshot, false));
        queue.after(storeDelay(node), () -> {
            boolean isCut = store.isDown() || !isReachable(node.peer.region(), REGIONS.get(0));
            if (!isCut && !node.peer.region().equals(REGIONS.get(0))) {
                linkBytes += size;
            }
            node.receivedBytes += isCut ? 0 : size;
            node.ifStill(incarnation, isCut ? node::storeFailed : () -> node.storeValue(snapshot));
        });
    }

    private long storeDelay(SimNode node) {
        long link = node.peer.region().equals(REGIONS.get(0)) ? 1 : LINK_DELAY_MILLIS;
        return link + storeDelayMillis + random.nextInt((int) storeDelayMillis + 1);
    }

    static int size(ConfigMessage message) {
        if (message instanceof ConfigMessage.Delta delta) {
            ConfigSnapshotDelta content = delta.delta();
            int size = MESSAGE_BYTES + sizeOf(content.changed());
            for (String name : content.removed()) {
                size += name.length() + ENTITY_BYTES;
            }
            return size;
        }
        if (message instanceof ConfigMessage.Whole whole) {
            return MESSAGE_BYTES + sizeOf(whole.snapshot().entities());
        }
        return MESSAGE_BYTES;
    }

    private static int sizeOf(Map<String, String> entities) {
        int size = 0;
        for (Map.Entry<String, String> entity : entities.entrySet()) {
            size += entity.getKey().length() + entity.getValue().length() + ENTITY_BYTES;
        }
        return size;
    }
}
