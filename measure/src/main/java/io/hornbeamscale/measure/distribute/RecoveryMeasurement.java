package io.hornbeamscale.measure.distribute;

/** Measures the store load when all nodes start at once and when the store is available again after an outage. */
final class RecoveryMeasurement {
    private static final int ENTITIES = 100;
    private static final int LOSS_PER_MILLE = 10;
    private static final long STEP_MILLIS = 1_000;
    private static final long START_TIMEOUT_MILLIS = 60_000;
    private static final long OUTAGE_MILLIS = 60_000;
    private static final long RECOVERY_TIMEOUT_MILLIS = 30_000;

    private RecoveryMeasurement() {}

    static Result run(long seed, int size) {
        DistributionSimulation simulation = new DistributionSimulation(seed, size, LOSS_PER_MILLE);
        simulation.store.compareAndSwap(0, SampleSnapshots.first(ENTITIES));
        simulation.startAll();
        long startPeak = 0;
        while (simulation.queue.now() < START_TIMEOUT_MILLIS && !isInForce(simulation)) {
            startPeak = Math.max(startPeak, step(simulation));
        }
        long startMillis = simulation.queue.now();
        simulation.store.setDown(true);
        simulation.queue.runUntil(simulation.queue.now() + OUTAGE_MILLIS);
        simulation.store.compareAndSwap(
                simulation.store.revision(), SampleSnapshots.next(simulation.store.latest(), simulation.random));
        simulation.store.setDown(false);
        long outageEndMillis = simulation.queue.now();
        long recoveryPeak = 0;
        long recoveredMillis = -1;
        while (simulation.queue.now() < outageEndMillis + RECOVERY_TIMEOUT_MILLIS) {
            recoveryPeak = Math.max(recoveryPeak, step(simulation));
            if (recoveredMillis < 0 && isInForce(simulation)) {
                recoveredMillis = simulation.queue.now() - outageEndMillis;
            }
        }
        return new Result(
                size,
                startMillis,
                startPeak,
                recoveredMillis < 0 ? RECOVERY_TIMEOUT_MILLIS : recoveredMillis,
                recoveryPeak);
    }

    private static long step(DistributionSimulation simulation) {
        long before = simulation.store.calls();
        simulation.queue.runUntil(simulation.queue.now() + STEP_MILLIS);
        return simulation.store.calls() - before;
    }

    private static boolean isInForce(DistributionSimulation simulation) {
        long latest = simulation.store.revision();
        return simulation.nodes.stream().allMatch(n -> n.versionInForce == latest);
    }

    record Result(
            int size, long startMillis, long startPeakPerSecond, long recoveryMillis, long recoveryPeakPerSecond) {}
}
