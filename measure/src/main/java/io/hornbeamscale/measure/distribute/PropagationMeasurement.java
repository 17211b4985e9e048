package io.hornbeamscale.measure.distribute;

import io.hornbeamscale.core.distribute.ConfigSnapshot;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Measures how fast a publication comes into force on every node, and what it costs. */
final class PropagationMeasurement {
    /** Services, models, 500 customers and 600 backend servers of the target size. */
    static final int ENTITIES = 1_110;

    private static final int CHANGES = 5;
    private static final long WARM_UP_MILLIS = 30_000;
    private static final long SPACING_MILLIS = 20_000;
    private static final int LOSS_PER_MILLE = 10;

    private PropagationMeasurement() {}

    static Result run(long seed, int size) {
        DistributionWorld world = new DistributionWorld(seed, size, LOSS_PER_MILLE);
        world.store.swap(0, Documents.first(ENTITIES));
        world.startAll();
        world.queue.runUntil(WARM_UP_MILLIS);
        Costs idleBegin = Costs.of(world);
        long idleMillis = SPACING_MILLIS * CHANGES;
        world.queue.runUntil(WARM_UP_MILLIS + idleMillis);
        Costs idle = Costs.of(world).minus(idleBegin);
        Costs busyBegin = Costs.of(world);
        List<Long> millis = new ArrayList<>();
        for (int i = 0; i < CHANGES; i++) {
            millis.add(publishAndWait(world));
        }
        Costs busy = Costs.of(world).minus(busyBegin);
        Collections.sort(millis);
        return new Result(
                size,
                millis.get(millis.size() / 2),
                millis.get(millis.size() - 1),
                (busy.bytes() - idle.bytes()) / (double) CHANGES,
                (busy.linkBytes() - idle.linkBytes()) / (double) CHANGES,
                (busy.storeCalls() - idle.storeCalls()) / (double) CHANGES,
                idle.bytes() * 1_000.0 / idleMillis / size,
                busy.maxNodeBytes() * 1_000.0 / (SPACING_MILLIS * CHANGES),
                idle.storeCalls() * 1_000.0 / idleMillis);
    }

    private static long publishAndWait(DistributionWorld world) {
        long begin = world.queue.now();
        ConfigSnapshot latest = world.store.latest();
        ConfigSnapshot next = Documents.next(latest, world.random);
        SimNode publisher = world.nodes.get(world.random.nextInt(world.nodes.size()));
        world.publish(publisher, latest.version(), next, false);
        long done = -1;
        while (world.queue.now() < begin + SPACING_MILLIS) {
            world.queue.runUntil(world.queue.now() + 10);
            boolean isEverywhere = world.nodes.stream().allMatch(n -> n.inForce == next.version());
            if (done < 0 && isEverywhere) {
                done = world.queue.now() - begin;
            }
        }
        return done < 0 ? SPACING_MILLIS : done;
    }

    record Result(
            int size,
            long medianMillis,
            long maxMillis,
            double bytesPerChange,
            double linkBytesPerChange,
            double storeCallsPerChange,
            double idleBytesPerNodeSecond,
            double busiestNodeBytesPerSecond,
            double idleStoreCallsPerSecond) {}

    private record Costs(long bytes, long linkBytes, long storeCalls, long maxNodeBytes, List<Long> nodeBytes) {
        static Costs of(DistributionWorld world) {
            List<Long> each =
                    world.nodes.stream().map(n -> n.sentBytes + n.receivedBytes).toList();
            return new Costs(world.bytes, world.linkBytes, world.store.calls(), 0, each);
        }

        Costs minus(Costs begin) {
            long max = 0;
            for (int i = 0; i < nodeBytes.size(); i++) {
                max = Math.max(max, nodeBytes.get(i) - begin.nodeBytes.get(i));
            }
            return new Costs(
                    bytes - begin.bytes, linkBytes - begin.linkBytes, storeCalls - begin.storeCalls, max, List.of());
        }
    }
}
