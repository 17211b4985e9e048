package io.hornbeamscale.measure.distribute;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Measures distribution and membership for several sizes and seeds, and counts reversions over random fault schedules.
 * The options and their defaults are {@code --sizes 10,40,160,360 --seeds 5 --schedules 10000 --first-seed 1}.
 */
public final class DistributeProgram {
    private DistributeProgram() {}

    /**
     * Runs the measurements and prints a table for each.
     *
     * @param args the options, not null
     * @param out the stream that the tables are printed to, not null
     * @return 0 if there was no reversion, no wrong content, no node behind and no exceeded time bound, else 1
     * @throws IllegalArgumentException if an option is unknown or has no value, or its value is no number
     */
    public static int run(String[] args, PrintStream out) {
        Map<String, String> options = options(args);
        List<Integer> sizes = new ArrayList<>();
        for (String size : options.getOrDefault("--sizes", "10,40,160,360").split(",", -1)) {
            sizes.add(Integer.parseInt(size));
        }
        int seeds = Integer.parseInt(options.getOrDefault("--seeds", "5"));
        int schedules = Integer.parseInt(options.getOrDefault("--schedules", "10000"));
        long firstSeed = Long.parseLong(options.getOrDefault("--first-seed", "1"));
        boolean isWithinBounds = propagation(sizes, seeds, firstSeed, out);
        isWithinBounds &= recovery(sizes, seeds, firstSeed, out);
        isWithinBounds &= membership(sizes, seeds, firstSeed, out);
        isWithinBounds &= schedules(schedules, firstSeed, out);
        return isWithinBounds ? 0 : 1;
    }

    private static Map<String, String> options(String[] args) {
        Map<String, String> options = new HashMap<>();
        if (args.length % 2 != 0) {
            throw new IllegalArgumentException("args must be pairs of option and value");
        }
        for (int i = 0; i < args.length; i += 2) {
            if (!List.of("--sizes", "--seeds", "--schedules", "--first-seed").contains(args[i])) {
                throw new IllegalArgumentException("args contains an unknown option: " + args[i]);
            }
            options.put(args[i], args[i + 1]);
        }
        return options;
    }

    private static boolean propagation(List<Integer> sizes, int seeds, long firstSeed, PrintStream out) {
        out.printf(
                Locale.ROOT,
                "propagation: %d entities, 1%% loss, 5 changes per seed%n",
                PropagationMeasurement.ENTITIES);
        out.println("nodes  median_s  max_s  KB/change  link_KB/change  store_calls/change  idle_B/s/node"
                + "  busiest_B/s  idle_store_calls/s");
        boolean isWithinBounds = true;
        for (int size : sizes) {
            List<PropagationMeasurement.Result> results = new ArrayList<>();
            for (int i = 0; i < seeds; i++) {
                results.add(PropagationMeasurement.run(firstSeed + i, size));
            }
            long maxMillis = results.stream()
                    .mapToLong(PropagationMeasurement.Result::maxMillis)
                    .max()
                    .orElse(0);
            isWithinBounds &= maxMillis <= 17_000;
            out.printf(
                    Locale.ROOT,
                    "%5d  %8.2f  %5.2f  %9.1f  %14.1f  %18.1f  %13.1f  %11.0f  %18.2f%n",
                    size,
                    mean(results.stream().map(r -> (double) r.medianMillis()).toList()) / 1_000,
                    maxMillis / 1_000.0,
                    mean(results.stream().map(r -> r.bytesPerChange()).toList()) / 1_000,
                    mean(results.stream()
                                    .map(r -> r.crossRegionBytesPerChange())
                                    .toList())
                            / 1_000,
                    mean(results.stream().map(r -> r.storeCallsPerChange()).toList()),
                    mean(results.stream().map(r -> r.idleBytesPerNodeSecond()).toList()),
                    mean(results.stream()
                            .map(r -> r.busiestNodeBytesPerSecond())
                            .toList()),
                    mean(results.stream().map(r -> r.idleStoreCallsPerSecond()).toList()));
        }
        return isWithinBounds;
    }

    private static boolean recovery(List<Integer> sizes, int seeds, long firstSeed, PrintStream out) {
        out.println("recovery: all nodes start at once; the store returns after 60 s with a new version; worst seed");
        out.println("nodes  start_s  start_store_calls/s  recovery_s  recovery_store_calls/s");
        boolean isWithinBounds = true;
        for (int size : sizes) {
            long startMillis = 0;
            long startPeak = 0;
            long recoveryMillis = 0;
            long recoveryPeak = 0;
            for (int i = 0; i < seeds; i++) {
                RecoveryMeasurement.Result result = RecoveryMeasurement.run(firstSeed + i, size);
                startMillis = Math.max(startMillis, result.startMillis());
                startPeak = Math.max(startPeak, result.startPeakPerSecond());
                recoveryMillis = Math.max(recoveryMillis, result.recoveryMillis());
                recoveryPeak = Math.max(recoveryPeak, result.recoveryPeakPerSecond());
            }
            isWithinBounds &= recoveryMillis <= 17_000;
            out.printf(
                    Locale.ROOT,
                    "%5d  %7.1f  %19d  %10.1f  %22d%n",
                    size,
                    startMillis / 1_000.0,
                    startPeak,
                    recoveryMillis / 1_000.0,
                    recoveryPeak);
        }
        return isWithinBounds;
    }

    private static boolean membership(List<Integer> sizes, int seeds, long firstSeed, PrintStream out) {
        out.println("membership: time until no node uses a leaving backend server, 1% loss");
        out.println("nodes  sign     mean_s  max_s  messages/node/sign  B/s/node  list_reads/s  members/node");
        boolean isWithinBounds = true;
        for (int size : sizes) {
            for (boolean isListed : new boolean[] {true, false}) {
                List<MembershipMeasurement.Result> results = new ArrayList<>();
                for (int i = 0; i < seeds; i++) {
                    results.add(MembershipMeasurement.run(firstSeed + i, size, isListed));
                }
                long maxMillis = results.stream()
                        .mapToLong(MembershipMeasurement.Result::millis)
                        .max()
                        .orElse(0);
                isWithinBounds &= maxMillis <= 3_000;
                out.printf(
                        Locale.ROOT,
                        "%5d  %-7s  %6.2f  %5.2f  %18.1f  %8.0f  %12.2f  %12d%n",
                        size,
                        isListed ? "list" : "refusal",
                        mean(results.stream().map(r -> (double) r.millis()).toList()) / 1_000,
                        maxMillis / 1_000.0,
                        mean(results.stream().map(r -> r.messagesPerNode()).toList()),
                        mean(results.stream().map(r -> r.bytesPerNodeSecond()).toList()),
                        mean(results.stream().map(r -> r.listReadsPerSecond()).toList()),
                        results.get(0).members());
            }
        }
        return isWithinBounds;
    }

    private static boolean schedules(int schedules, long firstSeed, PrintStream out) {
        long versions = 0;
        long reversions = 0;
        long wrongContents = 0;
        long nodesBehind = 0;
        long firstBadSeed = -1;
        for (long seed = firstSeed; seed < firstSeed + schedules; seed++) {
            FaultScheduleMeasurement.Result result = FaultScheduleMeasurement.run(seed);
            versions += result.versions();
            reversions += result.reversions();
            wrongContents += result.wrongContents();
            nodesBehind += result.nodesBehind();
            boolean isBad = result.reversions() + result.wrongContents() + result.nodesBehind() > 0;
            if (isBad && firstBadSeed < 0) {
                firstBadSeed = seed;
            }
        }
        out.printf(
                Locale.ROOT,
                "schedules: %d, versions %d, reversions %d, wrong contents %d, nodes behind at the end %d,"
                        + " first bad seed %d%n",
                schedules,
                versions,
                reversions,
                wrongContents,
                nodesBehind,
                firstBadSeed);
        return reversions + wrongContents + nodesBehind == 0;
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }
}
