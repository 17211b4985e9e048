package io.hornbeamscale.measure.distribute;

import io.hornbeamscale.core.distribute.ConfigSnapshot;
import java.util.Random;

/** Runs a random schedule of publish races, outages, older values, partitions and restarts, and counts reversions. */
final class ScheduleMeasurement {
    private static final int NODES = 12;
    private static final int ENTITIES = 12;
    private static final int STEPS = 24;
    private static final int[] LOSSES_PER_MILLE = {10, 30, 200, 500};
    private static final long MAX_STEP_MILLIS = 4_000;
    private static final int QUICK_RESTART_MILLIS = 300;
    private static final int SLOW_RESTART_MILLIS = 8_000;
    private static final long HEAL_MILLIS = 40_000;

    private final DistributionWorld world;
    private final Random random;

    private ScheduleMeasurement(long seed) {
        world = new DistributionWorld(seed, NODES, LOSSES_PER_MILLE[(int) (seed % LOSSES_PER_MILLE.length)]);
        random = new Random(seed * 31 + 7);
    }

    static Result run(long seed) {
        return new ScheduleMeasurement(seed).run();
    }

    private Result run() {
        world.store.swap(0, Documents.first(ENTITIES));
        world.startAll();
        for (int i = 0; i < STEPS; i++) {
            world.queue.runUntil(world.queue.now() + random.nextInt((int) MAX_STEP_MILLIS));
            step();
        }
        heal();
        world.queue.runUntil(world.queue.now() + HEAL_MILLIS);
        long latest = world.store.revision();
        long behind = world.nodes.stream().filter(n -> n.inForce != latest).count();
        return new Result(latest, world.reversions, world.wrongContents, behind);
    }

    private void step() {
        switch (random.nextInt(10)) {
            case 0, 1, 2 -> race();
            case 3, 4 -> restart(world.nodes.get(random.nextInt(NODES)));
            case 5 -> world.store.down(!world.store.isDown());
            case 6 -> world.store.olderBy(random.nextInt(4));
            case 7 -> world.cutOff(DistributionWorld.REGIONS.get(random.nextInt(3)), random.nextBoolean());
            case 8 -> world.storeDelay(random.nextBoolean() ? 3 : 800);
            default -> publishAndCrash();
        }
    }

    /** Two publishers build on the same revision; at most one of them can win. */
    private void race() {
        long base = world.store.revision();
        for (int i = 0; i < 2; i++) {
            publishFrom(world.nodes.get(random.nextInt(NODES)), base);
        }
    }

    private void publishFrom(SimNode node, long base) {
        ConfigSnapshot next = Documents.next(world.store.version(base), random);
        if (node.isUp) {
            world.publish(node, base, next, random.nextInt(4) == 0);
        }
    }

    /** A publisher that crashes at once is the node that can come back with less than it had. */
    private void publishAndCrash() {
        SimNode node = world.nodes.get(random.nextInt(NODES));
        publishFrom(node, world.store.revision());
        world.queue.runUntil(world.queue.now() + random.nextInt(300));
        restart(node);
        if (random.nextBoolean()) {
            world.store.down(true);
        }
    }

    private void restart(SimNode node) {
        if (!node.isUp) {
            return;
        }
        node.crash();
        world.queue.after(1_000 + random.nextInt(4_000), this::refreshAll);
        long downMillis = 50L + random.nextInt(random.nextBoolean() ? QUICK_RESTART_MILLIS : SLOW_RESTART_MILLIS);
        world.queue.after(downMillis, () -> {
            node.start();
            world.queue.after(random.nextInt(300), node::refreshPeers);
            world.queue.after(500 + random.nextInt(3_000), this::refreshAll);
        });
    }

    private void refreshAll() {
        world.nodes.forEach(SimNode::refreshPeers);
    }

    private void heal() {
        world.store.down(false);
        world.store.olderBy(0);
        world.storeDelay(3);
        DistributionWorld.REGIONS.forEach(region -> world.cutOff(region, false));
    }

    record Result(long versions, long reversions, long wrongContents, long nodesBehind) {}
}
