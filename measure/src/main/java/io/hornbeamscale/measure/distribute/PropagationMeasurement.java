package io.hornbeamscale.measure.distribute;

import io.hornbeamscale.core.distribute.ConfigSnapshot;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Measures the time until a publication is in force on every node, and its network and store load. */
final class PropagationMeasurement {
    /** The entities of the target size: services, models, 500 customers and 600 backend servers. */
    static final int ENTITIES = 1_110;

    private static final int CHANGES = 5;
    private static final long WARM_UP_MILLIS = 30_000;
    private static final long CHANGE_INTERVAL_MILLIS = 20_000;
    private static final int LOSS_PER_MILLE = 10;

    private PropagationMeasurement() {}

    static Result run(long seed, int size) {
        DistributionSimulation simulation = new DistributionSimulation(seed, size, LOSS_PER_MILLE);
        simulation.store.compareAndSwap(0, SampleSnapshots.first(ENTITIES));
        simulation.startAll();
        simulation.queue.runUntil(WARM_UP_MILLIS);
        Costs idleStart = Costs.of(simulation);
        long idleMillis = CHANGE_INTERVAL_MILLIS * CHANGES;
        simulation.queue.runUntil(WARM_UP_MILLIS + idleMillis);
        Costs idle = Costs.of(simulation).minus(idleStart);
        Costs busyStart = Costs.of(simulation);
        List<Long> durationsMillis = new ArrayList<>();
        for (int i = 0; i < CHANGES; i++) {
            durationsMillis.add(publishAndWait(simulation));
        }
        Costs busy = Costs.of(simulation).minus(busyStart);
        Collections.sort(durationsMillis);
        return new Result(
                size,
                durationsMillis.get(durationsMillis.size() / 2),
                durationsMillis.get(durationsMillis.size() - 1),
                (busy.bytes() - idle.bytes()) / (double) CHANGES,
                (busy.crossRegionBytes() - idle.crossRegionBytes()) / (double) CHANGES,
                (busy.storeCalls() - idle.storeCalls()) / (double) CHANGES,
                idle.bytes() * 1_000.0 / idleMillis / size,
                busy.maxNodeBytes() * 1_000.0 / (CHANGE_INTERVAL_MILLIS * CHANGES),
                idle.storeCalls() * 1_000.0 / idleMillis);
    }

    private static long publishAndWait(DistributionSimulation simulation) {
        long startMillis = simulation.queue.now();
        ConfigSnapshot latest = simulation.store.latest();
        ConfigSnapshot next = SampleSnapshots.next(latest, simulation.random);
        SimulatedNode publisher = simulation.nodes.get(simulation.random.nextInt(simulation.nodes.size()));
        simulation.publish(publisher, latest.version(), next, false);
        long durationMillis = -1;
        while (simulation.queue.now() < startMillis + CHANGE_INTERVAL_MILLIS) {
            simulation.queue.runUntil(simulation.queue.now() + 10);
            boolean isEverywhere = simulation.nodes.stream().allMatch(n -> n.versionInForce == next.version());
            if (durationMillis < 0 && isEverywhere) {
                durationMillis = simulation.queue.now() - startMillis;
            }
        }
        return durationMillis < 0 ? CHANGE_INTERVAL_MILLIS : durationMillis;
    }

    record Result(
            int size,
            long medianMillis,
            long maxMillis,
            double bytesPerChange,
            double crossRegionBytesPerChange,
            double storeCallsPerChange,
            double idleBytesPerNodeSecond,
            double busiestNodeBytesPerSecond,
            double idleStoreCallsPerSecond) {}

    private record Costs(long bytes, long crossRegionBytes, long storeCalls, long maxNodeBytes, List<Long> nodeBytes) {
        static Costs of(DistributionSimulation simulation) {
            List<Long> each = simulation.nodes.stream()
                    .map(n -> n.sentBytes + n.receivedBytes)
                    .toList();
            return new Costs(simulation.bytes, simulation.crossRegionBytes, simulation.store.calls(), 0, each);
        }

        Costs minus(Costs begin) {
            long max = 0;
            for (int i = 0; i < nodeBytes.size(); i++) {
                max = Math.max(max, nodeBytes.get(i) - begin.nodeBytes.get(i));
            }
            return new Costs(
                    bytes - begin.bytes,
                    crossRegionBytes - begin.crossRegionBytes,
                    storeCalls - begin.storeCalls,
                    max,
                    List.of());
        }
    }
}
