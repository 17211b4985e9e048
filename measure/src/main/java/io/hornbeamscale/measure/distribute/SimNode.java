package io.hornbeamscale.measure.distribute;

import io.hornbeamscale.core.distribute.ConfigDistributor;
import io.hornbeamscale.core.distribute.ConfigPeer;
import io.hornbeamscale.core.distribute.ConfigSnapshot;
import io.hornbeamscale.core.distribute.DistributionAction;
import java.util.List;
import java.util.Random;

/** One node of a {@link DistributionWorld}; it loses everything when it restarts, as a VM without a disk does. */
final class SimNode {
    final ConfigPeer peer;
    ConfigDistributor distributor;
    long incarnation;
    long sentBytes;
    long receivedBytes;
    long inForce;
    boolean isUp;
    private final DistributionWorld world;
    private final long seed;
    private long highestEver;

    SimNode(DistributionWorld world, ConfigPeer peer, long seed) {
        this.world = world;
        this.peer = peer;
        this.seed = seed;
    }

    void start() {
        incarnation++;
        inForce = 0;
        isUp = true;
        distributor = new ConfigDistributor(
                peer, DistributionWorld.REGIONS.get(0), new Random(seed + incarnation * 7_919), world.queue.now());
        world.tickLater(this, incarnation);
    }

    void crash() {
        isUp = false;
    }

    void refreshPeers() {
        if (isUp) {
            distributor.updatePeers(
                    world.nodes.stream().filter(n -> n.isUp).map(n -> n.peer).toList());
        }
    }

    void ifStill(long expectedIncarnation, Runnable task) {
        if (isUp && incarnation == expectedIncarnation) {
            task.run();
        }
    }

    void storeFailed() {
        run(distributor.storeFailed(world.queue.now()));
    }

    void storeUnchanged() {
        run(distributor.storeUnchanged(world.queue.now()));
    }

    void storeRevision(long revision) {
        run(distributor.storeRevisionRead(revision, world.queue.now()));
    }

    void storeValue(ConfigSnapshot snapshot) {
        run(distributor.storeValueRead(snapshot, world.queue.now()));
    }

    void run(List<DistributionAction> actions) {
        for (DistributionAction action : actions) {
            if (action instanceof DistributionAction.Send send) {
                world.send(this, send.peer(), send.message());
            } else if (action instanceof DistributionAction.Apply apply) {
                apply(apply.snapshot());
            } else {
                world.callStore(this, action);
            }
        }
    }

    private void apply(ConfigSnapshot snapshot) {
        if (snapshot.version() < highestEver) {
            world.reversions++;
        }
        boolean isPublished = snapshot.version() <= world.store.revision()
                && world.store.version(snapshot.version()).equals(snapshot);
        if (!isPublished) {
            world.wrongContents++;
        }
        highestEver = Math.max(highestEver, snapshot.version());
        inForce = snapshot.version();
    }
}
