package io.hornbeamscale.measure.distribute;

/** Measures the load on the store when all nodes start at once, and when the store returns after an outage. */
final class RecoveryMeasurement {
    private static final int ENTITIES = 100;
    private static final int LOSS_PER_MILLE = 10;
    private static final long STEP_MILLIS = 1_000;
    private static final long START_LIMIT_MILLIS = 60_000;
    private static final long OUTAGE_MILLIS = 60_000;
    private static final long RECOVERY_MILLIS = 30_000;

    private RecoveryMeasurement() {}

    static Result run(long seed, int size) {
        DistributionWorld world = new DistributionWorld(seed, size, LOSS_PER_MILLE);
        world.store.swap(0, Documents.first(ENTITIES));
        world.startAll();
        long startPeak = 0;
        while (world.queue.now() < START_LIMIT_MILLIS && !isInForce(world)) {
            startPeak = Math.max(startPeak, step(world));
        }
        long startMillis = world.queue.now();
        world.store.down(true);
        world.queue.runUntil(world.queue.now() + OUTAGE_MILLIS);
        world.store.swap(world.store.revision(), Documents.next(world.store.latest(), world.random));
        world.store.down(false);
        long healedMillis = world.queue.now();
        long recoveryPeak = 0;
        long recoveredMillis = -1;
        while (world.queue.now() < healedMillis + RECOVERY_MILLIS) {
            recoveryPeak = Math.max(recoveryPeak, step(world));
            if (recoveredMillis < 0 && isInForce(world)) {
                recoveredMillis = world.queue.now() - healedMillis;
            }
        }
        return new Result(
                size, startMillis, startPeak, recoveredMillis < 0 ? RECOVERY_MILLIS : recoveredMillis, recoveryPeak);
    }

    private static long step(DistributionWorld world) {
        long before = world.store.calls();
        world.queue.runUntil(world.queue.now() + STEP_MILLIS);
        return world.store.calls() - before;
    }

    private static boolean isInForce(DistributionWorld world) {
        long latest = world.store.revision();
        return world.nodes.stream().allMatch(n -> n.inForce == latest);
    }

    record Result(
            int size, long startMillis, long startPeakPerSecond, long recoveryMillis, long recoveryPeakPerSecond) {}
}
