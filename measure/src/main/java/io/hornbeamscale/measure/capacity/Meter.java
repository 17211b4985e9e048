package io.hornbeamscale.measure.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/** Measures heap and processor time of the running thread. */
final class Meter {
    private static final int COLLECTIONS = 3;
    private static final int WARM_UP_ROUNDS = 5;
    private static final int ROUNDS = 5;
    private static final double NANOS_PER_MICRO = 1_000.0;

    private Meter() {}

    /** Returns the heap in bytes that the built object keeps, at each size. */
    static Slope heap(String name, List<Integer> sizes, IntFunction<Object> build) {
        List<Double> figures = new ArrayList<>();
        keptBytes(name, build, sizes.get(0));
        for (int n : sizes) {
            figures.add((double) keptBytes(name, build, n));
        }
        return Slope.fit(name, "bytes of heap", sizes, figures);
    }

    /** Returns the processor time in microseconds of one operation, the least of several rounds, at each size. */
    static Slope time(String name, List<Integer> sizes, IntFunction<Supplier<Integer>> build) {
        List<Double> figures = new ArrayList<>();
        for (int n : sizes) {
            Supplier<Integer> round = build.apply(n);
            for (int i = 0; i < WARM_UP_ROUNDS; i++) {
                microsEach(round);
            }
            double least = Double.MAX_VALUE;
            for (int i = 0; i < ROUNDS; i++) {
                least = Math.min(least, microsEach(round));
            }
            figures.add(least);
        }
        return Slope.fit(name, "us each", sizes, figures);
    }

    private static long keptBytes(String name, IntFunction<Object> build, int size) {
        long before = usedBytes();
        Object kept = build.apply(size);
        long after = usedBytes();
        if (kept == null) {
            throw new IllegalStateException(name + " built nothing");
        }
        return after - before;
    }

    private static double microsEach(Supplier<Integer> round) {
        long start = threadNanos();
        int operations = round.get();
        return (threadNanos() - start) / NANOS_PER_MICRO / operations;
    }

    private static long threadNanos() {
        ThreadMXBean bean = ManagementFactory.getThreadMXBean();
        return bean.getCurrentThreadCpuTime();
    }

    private static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
