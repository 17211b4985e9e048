package io.hornbeamscale.core.faults;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.ForkJoinTask;
import java.util.stream.LongStream;

/**
 * Tries interleavings of all seeds of a range and prints the figures. Arguments: first seed, number of seeds, and the
 * name of a fault to inject alone, {@code ALL} or {@code EACH}.
 */
public final class FaultRun {
    /** The number of seeds tried at once; the machine is shared. */
    private static final int PARALLEL = 3;

    private FaultRun() {}

    public static void main(String[] args) {
        long first = args.length > 0 ? Long.parseLong(args[0]) : 1;
        long count = args.length > 1 ? Long.parseLong(args[1]) : 100_000;
        String which = args.length > 2 ? args[2] : "ALL";
        Figures figures = new Figures();
        if (which.equals("EACH")) {
            figures.add(run(first, count, Defect.NONE, EnumSet.noneOf(Fault.class)));
            for (Fault fault : Fault.values()) {
                figures.add(run(first, count, Defect.NONE, EnumSet.of(fault)));
            }
        } else {
            Set<Fault> faults = which.equals("ALL") ? EnumSet.allOf(Fault.class) : EnumSet.of(Fault.valueOf(which));
            figures.add(run(first, count, Defect.NONE, faults));
        }
        System.out.println("seeds " + first + " to " + (first + count - 1) + ", faults " + which);
        System.out.print(figures);
    }

    static Figures run(long first, long count, Defect defect, Set<Fault> faults) {
        ForkJoinTask<Figures> task = ForkJoinTask.adapt(() -> LongStream.range(first, first + count)
                .parallel()
                .mapToObj(seed -> one(seed, defect, faults))
                .collect(Figures::new, Figures::add, Figures::add));
        ForkJoinPool pool = new ForkJoinPool(PARALLEL);
        try {
            return pool.submit(task).join();
        } finally {
            pool.shutdown();
        }
    }

    private static Figures one(long seed, Defect defect, Set<Fault> faults) {
        Simulation simulation = new Simulation(seed, defect, faults);
        for (String violation : simulation.run()) {
            if (defect == Defect.NONE) {
                System.out.println("seed " + seed + ": " + violation);
            }
        }
        return simulation.figures;
    }
}
