package io.hornbeamscale.core.faults;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.ForkJoinTask;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

/**
 * Simulates the interleavings of a range of seeds and prints statistics. Arguments: the first seed, the number of
 * seeds, and the faults to inject: the name of a single fault, {@code ALL} for all faults together, {@code EACH} for
 * each fault in a run of its own, or {@code COMPOSED} for all faults that apply to the daemons' composed controllers.
 */
public final class FaultRun {
    /** The number of threads that simulate seeds; limited, since the machine may be shared. */
    private static final int THREADS = 3;

    /**
     * The faults that apply to the composed controllers, which include neither quarantine nor fencing and never send a
     * start twice.
     */
    static final Set<FaultKind> COMPOSED = EnumSet.complementOf(
            EnumSet.of(FaultKind.POISON_REQUEST, FaultKind.LEASE_LAPSED, FaultKind.START_DUPLICATED));

    private FaultRun() {}

    public static void main(String[] args) {
        long firstSeed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        long count = args.length > 1 ? Long.parseLong(args[1]) : 100_000;
        String selection = args.length > 2 ? args[2] : "ALL";
        RunStatistics statistics = new RunStatistics();
        if (selection.equals("COMPOSED")) {
            statistics.add(run(firstSeed, count, seed -> new FaultSimulation(seed, Defect.NONE, COMPOSED, true)));
        } else if (selection.equals("EACH")) {
            statistics.add(run(firstSeed, count, Defect.NONE, EnumSet.noneOf(FaultKind.class)));
            for (FaultKind fault : FaultKind.values()) {
                statistics.add(run(firstSeed, count, Defect.NONE, EnumSet.of(fault)));
            }
        } else {
            Set<FaultKind> faults =
                    selection.equals("ALL") ? EnumSet.allOf(FaultKind.class) : EnumSet.of(FaultKind.valueOf(selection));
            statistics.add(run(firstSeed, count, Defect.NONE, faults));
        }
        System.out.println("seeds " + firstSeed + " to " + (firstSeed + count - 1) + ", faults " + selection);
        System.out.print(statistics);
    }

    static RunStatistics run(long firstSeed, long count, Defect defect, Set<FaultKind> faults) {
        return run(firstSeed, count, seed -> new FaultSimulation(seed, defect, faults));
    }

    static RunStatistics run(long firstSeed, long count, LongFunction<FaultSimulation> create) {
        ForkJoinTask<RunStatistics> task = ForkJoinTask.adapt(() -> LongStream.range(firstSeed, firstSeed + count)
                .parallel()
                .mapToObj(seed -> runSeed(seed, create))
                .collect(RunStatistics::new, RunStatistics::add, RunStatistics::add));
        ForkJoinPool pool = new ForkJoinPool(THREADS);
        try {
            return pool.submit(task).join();
        } finally {
            pool.shutdown();
        }
    }

    private static RunStatistics runSeed(long seed, LongFunction<FaultSimulation> create) {
        FaultSimulation simulation = create.apply(seed);
        for (String violation : simulation.run()) {
            if (simulation.defect == Defect.NONE) {
                System.out.println("seed " + seed + ": " + violation);
            }
        }
        return simulation.statistics;
    }
}
