package io.hornbeamscale.core.faults;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.ForkJoinTask;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

/**
 * Tries interleavings of all seeds of a range and prints the figures. Arguments: first seed, number of seeds, and the
 * name of a fault to inject alone, {@code ALL}, {@code EACH}, or {@code COMPOSED} for all faults that concern the
 * composed controllers of the daemons.
 */
public final class FaultRun {
    /** The number of seeds tried at once; the machine is shared. */
    private static final int PARALLEL = 3;

    /** The composed controllers include neither quarantine nor fencing, and never send a start twice. */
    static final Set<FaultKind> COMPOSED = EnumSet.complementOf(
            EnumSet.of(FaultKind.POISON_REQUEST, FaultKind.LEASE_LAPSED, FaultKind.START_DUPLICATED));

    private FaultRun() {}

    public static void main(String[] args) {
        long first = args.length > 0 ? Long.parseLong(args[0]) : 1;
        long count = args.length > 1 ? Long.parseLong(args[1]) : 100_000;
        String which = args.length > 2 ? args[2] : "ALL";
        RunStatistics figures = new RunStatistics();
        if (which.equals("COMPOSED")) {
            figures.add(run(first, count, seed -> new FaultSimulation(seed, Defect.NONE, COMPOSED, true)));
        } else if (which.equals("EACH")) {
            figures.add(run(first, count, Defect.NONE, EnumSet.noneOf(FaultKind.class)));
            for (FaultKind fault : FaultKind.values()) {
                figures.add(run(first, count, Defect.NONE, EnumSet.of(fault)));
            }
        } else {
            Set<FaultKind> faults =
                    which.equals("ALL") ? EnumSet.allOf(FaultKind.class) : EnumSet.of(FaultKind.valueOf(which));
            figures.add(run(first, count, Defect.NONE, faults));
        }
        System.out.println("seeds " + first + " to " + (first + count - 1) + ", faults " + which);
        System.out.print(figures);
    }

    static RunStatistics run(long first, long count, Defect defect, Set<FaultKind> faults) {
        return run(first, count, seed -> new FaultSimulation(seed, defect, faults));
    }

    static RunStatistics run(long first, long count, LongFunction<FaultSimulation> create) {
        ForkJoinTask<RunStatistics> task = ForkJoinTask.adapt(() -> LongStream.range(first, first + count)
                .parallel()
                .mapToObj(seed -> one(seed, create))
                .collect(RunStatistics::new, RunStatistics::add, RunStatistics::add));
        ForkJoinPool pool = new ForkJoinPool(PARALLEL);
        try {
            return pool.submit(task).join();
        } finally {
            pool.shutdown();
        }
    }

    private static RunStatistics one(long seed, LongFunction<FaultSimulation> create) {
        FaultSimulation simulation = create.apply(seed);
        for (String violation : simulation.run()) {
            if (simulation.defect == Defect.NONE) {
                System.out.println("seed " + seed + ": " + violation);
            }
        }
        return simulation.statistics;
    }
}
