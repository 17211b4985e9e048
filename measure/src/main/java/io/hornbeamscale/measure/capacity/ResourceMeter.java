package io.hornbeamscale.measure.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/** Measures the heap of objects and the processor time of the current thread. */
final class ResourceMeter {
    private static final int GARBAGE_COLLECTIONS = 3;
    private static final int WARM_UP_ROUNDS = 5;
    private static final int ROUNDS = 5;
    private static final double NANOS_PER_MICRO = 1_000.0;

    private ResourceMeter() {}

    /** Measures the heap that the built object retains at each size, in bytes. */
    static LinearFit measureHeap(String name, List<Integer> sizes, IntFunction<Object> build) {
        List<Double> figures = new ArrayList<>();
        retainedBytes(name, build, sizes.get(0));
        for (int n : sizes) {
            figures.add((double) retainedBytes(name, build, n));
        }
        return LinearFit.fit(name, "bytes of heap", sizes, figures);
    }

    /** Measures the processor time of one operation at each size, in microseconds: the minimum of several rounds. */
    static LinearFit measureCpuTime(String name, List<Integer> sizes, IntFunction<Supplier<Integer>> build) {
        List<Double> figures = new ArrayList<>();
        for (int n : sizes) {
            Supplier<Integer> round = build.apply(n);
            for (int i = 0; i < WARM_UP_ROUNDS; i++) {
                microsPerOperation(round);
            }
            double lowest = Double.MAX_VALUE;
            for (int i = 0; i < ROUNDS; i++) {
                lowest = Math.min(lowest, microsPerOperation(round));
            }
            figures.add(lowest);
        }
        return LinearFit.fit(name, "us each", sizes, figures);
    }

    private static long retainedBytes(String name, IntFunction<Object> build, int size) {
        long before = usedBytes();
        Object retained = build.apply(size);
        long after = usedBytes();
        if (retained == null) {
            throw new IllegalStateException(name + " built nothing");
        }
        return after - before;
    }

    private static double microsPerOperation(Supplier<Integer> round) {
        long start = threadNanos();
        int operations = round.get();
        return (threadNanos() - start) / NANOS_PER_MICRO / operations;
    }

    private static long threadNanos() {
        ThreadMXBean bean = ManagementFactory.getThreadMXBean();
        return bean.getCurrentThreadCpuTime();
    }

    private static long usedBytes() {
        for (int i = 0; i < GARBAGE_COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
