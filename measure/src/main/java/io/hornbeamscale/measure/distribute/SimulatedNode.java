package io.hornbeamscale.measure.distribute;

import io.hornbeamscale.core.distribute.ConfigDistributor;
import io.hornbeamscale.core.distribute.ConfigPeer;
import io.hornbeamscale.core.distribute.ConfigSnapshot;
import io.hornbeamscale.core.distribute.DistributionAction;
import java.util.List;
import java.util.Random;

/** One node of a {@link DistributionSimulation}; it loses its state when it restarts, like a VM without a disk. */
final class SimulatedNode {
    final ConfigPeer peer;
    ConfigDistributor distributor;
    long incarnation;
    long sentBytes;
    long receivedBytes;
    long versionInForce;
    boolean isUp;
    private final DistributionSimulation simulation;
    private final long seed;
    private long highestVersion;

    SimulatedNode(DistributionSimulation simulation, ConfigPeer peer, long seed) {
        this.simulation = simulation;
        this.peer = peer;
        this.seed = seed;
    }

    void start() {
        incarnation++;
        versionInForce = 0;
        isUp = true;
        distributor = new ConfigDistributor(
                peer,
                DistributionSimulation.REGIONS.get(0),
                new Random(seed + incarnation * 7_919),
                simulation.queue.now());
        simulation.scheduleTick(this, incarnation);
    }

    void crash() {
        isUp = false;
    }

    void refreshPeers() {
        if (isUp) {
            distributor.updatePeers(simulation.nodes.stream()
                    .filter(n -> n.isUp)
                    .map(n -> n.peer)
                    .toList());
        }
    }

    void ifSameIncarnation(long expectedIncarnation, Runnable task) {
        if (isUp && incarnation == expectedIncarnation) {
            task.run();
        }
    }

    void storeFailed() {
        run(distributor.storeFailed(simulation.queue.now()));
    }

    void storeUnchanged() {
        run(distributor.storeUnchanged(simulation.queue.now()));
    }

    void storeRevision(long revision) {
        run(distributor.storeRevisionRead(revision, simulation.queue.now()));
    }

    void storeValue(ConfigSnapshot snapshot) {
        run(distributor.storeValueRead(snapshot, simulation.queue.now()));
    }

    void run(List<DistributionAction> actions) {
        for (DistributionAction action : actions) {
            if (action instanceof DistributionAction.Send send) {
                simulation.send(this, send.peer(), send.message());
            } else if (action instanceof DistributionAction.Apply apply) {
                apply(apply.snapshot());
            } else {
                simulation.callStore(this, action);
            }
        }
    }

    private void apply(ConfigSnapshot snapshot) {
        if (snapshot.version() < highestVersion) {
            simulation.reversions++;
        }
        boolean isPublished = snapshot.version() <= simulation.store.revision()
                && simulation.store.version(snapshot.version()).equals(snapshot);
        if (!isPublished) {
            simulation.wrongContents++;
        }
        highestVersion = Math.max(highestVersion, snapshot.version());
        versionInForce = snapshot.version();
    }
}
