package io.hornbeamscale.measure.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;

/** Records what callers observe and computes the figures. */
final class FigureRecorder {
    /** The part of a gap beyond this time is a stall: three times the target between tokens. */
    private static final long STALL_THRESHOLD_MICROS = 100_000;

    private static final double FIRST_TOKEN_TARGET_SECONDS = 1.4;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final Scenario scenario;
    private final List<RequestRun> runs = new ArrayList<>();
    private final Histogram tokenGaps = new Histogram(3_600_000_000L, 3);
    private final Map<String, long[]> servedTokensBySecond = new LinkedHashMap<>();
    private final long[] tokensBySecond = new long[4_000];
    private long preemptions;
    private long secondAttempts;

    FigureRecorder(Scenario scenario) {
        this.scenario = scenario;
    }

    void add(RequestRun run) {
        runs.add(run);
    }

    void token(RequestRun run, Object attempt, long nowMicros) {
        if (run.isOver() || (run.deliveringAttempt != null && run.deliveringAttempt != attempt)) {
            return;
        }
        if (run.deliveringAttempt == null) {
            run.deliveringAttempt = attempt;
            run.state = RequestRun.State.STREAMING;
            if (run.firstTokenMicros < 0) {
                run.firstTokenMicros = nowMicros;
            }
        } else {
            long gap = nowMicros - run.lastTokenMicros;
            if (run.spec.isMeasured()) {
                tokenGaps.recordValue(gap);
            }
            run.stallMicros += Math.max(0, gap - STALL_THRESHOLD_MICROS);
        }
        run.peakTokens += scenario.isPeak(nowMicros / MICROS_PER_SECOND) ? 1 : 0;
        run.lastTokenMicros = nowMicros;
        int second = (int) Math.min(tokensBySecond.length - 1, nowMicros / 1_000_000);
        tokensBySecond[second]++;
        addServed(run.spec.work().customer().value(), second, 1);
    }

    private void addServed(String customer, int second, int tokens) {
        servedTokensBySecond.computeIfAbsent(customer, k -> new long[tokensBySecond.length])[second] += tokens;
    }

    void admitted(RequestRun run, long nowMicros) {
        if (run.admittedMicros < 0) {
            run.admittedMicros = nowMicros;
            int second = (int) Math.min(tokensBySecond.length - 1, nowMicros / 1_000_000);
            addServed(
                    run.spec.work().customer().value(), second, run.spec.work().promptTokens());
        }
    }

    void preempted(RequestRun run) {
        if (run.spec.isMeasured()) {
            preemptions++;
        }
    }

    void secondAttempt() {
        secondAttempts++;
    }

    Map<String, Double> figures(double seconds) {
        Map<String, Double> f = new LinkedHashMap<>();
        List<RequestRun> measured =
                runs.stream().filter(r -> r.spec.isMeasured()).toList();
        f.put("requests", (double) measured.size());
        f.put("completed", count(measured, RequestRun.State.DONE));
        f.put("refused", count(measured, RequestRun.State.REFUSED));
        f.put("gave_up", count(measured, RequestRun.State.GAVE_UP));
        f.put("failed", count(measured, RequestRun.State.FAILED));
        f.put("unfinished", (double) measured.stream().filter(r -> !r.isOver()).count());
        f.put(
                "stall_s",
                measured.stream()
                        .mapToDouble(r -> r.stallMicros / MICROS_PER_SECOND)
                        .sum());
        f.put("preemptions", (double) preemptions);
        f.put("short_wait_p50_s", waitQuantile(measured, r -> r.spec.isShort(), 0.5));
        f.put("short_wait_p99_s", waitQuantile(measured, r -> r.spec.isShort(), 0.99));
        f.put("long_wait_p99_s", waitQuantile(measured, r -> !r.spec.isShort(), 0.99));
        f.put(
                "long_done_mean_s",
                mean(measured, r -> !r.spec.isShort() && isDone(r), FigureRecorder::completionSeconds));
        f.put(
                "long_done_p99_s",
                quantile(measured, r -> !r.spec.isShort() && isDone(r), FigureRecorder::completionSeconds, 0.99));
        f.put("long_lost", (double)
                measured.stream().filter(r -> !r.spec.isShort() && !isDone(r)).count());
        f.put("ttft_p95_s", quantile(measured, r -> r.firstTokenMicros >= 0, FigureRecorder::firstTokenSeconds, 0.95));
        f.put("ttft_p99_s", quantile(measured, r -> r.firstTokenMicros >= 0, FigureRecorder::firstTokenSeconds, 0.99));
        f.put("gap_p95_ms", tokenGaps.getValueAtPercentile(95) / 1e3);
        f.put("gap_p99_ms", tokenGaps.getValueAtPercentile(99) / 1e3);
        f.put("goodput_tps", goodput(s -> s >= Scenario.WARM_UP_SECONDS && s < scenario.arrivalSeconds()));
        f.put("peak_goodput_tps", goodput(s -> s < scenario.arrivalSeconds() && scenario.isPeak(s)));
        f.put("useful_peak_tps", usefulPeakTokensPerSecond());
        f.put("fair_gap_tokens", fairnessGapTokens());
        f.put("fair_ratio", fairnessGapTokens() / (2 * largestRequestTokens()));
        f.put(
                "others_wait_p99_s",
                waitQuantile(measured, r -> !r.spec.work().customer().value().equals("c0"), 0.99));
        f.put("remote_share", mean(measured, r -> true, r -> r.isRemote ? 1 : 0));
        f.put("second_attempts", (double) secondAttempts);
        f.put(
                "drained_s",
                runs.stream()
                        .mapToDouble(r -> r.lastTokenMicros / MICROS_PER_SECOND)
                        .max()
                        .orElse(0));
        return f;
    }

    private static double count(List<RequestRun> runs, RequestRun.State state) {
        return runs.stream().filter(r -> r.state == state).count();
    }

    private static boolean isDone(RequestRun r) {
        return r.state == RequestRun.State.DONE;
    }

    private static double completionSeconds(RequestRun r) {
        return (r.lastTokenMicros - r.spec.arrivalMicros()) / MICROS_PER_SECOND;
    }

    private static double firstTokenSeconds(RequestRun r) {
        return (r.firstTokenMicros - r.spec.arrivalMicros()) / MICROS_PER_SECOND;
    }

    /** Returns the time until the engine admits the request, or the caller's patience if it was never admitted. */
    private static double waitSeconds(RequestRun r) {
        if (r.admittedMicros < 0) {
            return (r.spec.work().deadlineMillis() - r.spec.work().arrivedMillis()) / 1e3;
        }
        return (r.admittedMicros - r.spec.arrivalMicros()) / MICROS_PER_SECOND;
    }

    private static double waitQuantile(List<RequestRun> runs, Predicate<RequestRun> filter, double q) {
        return quantile(runs, filter, FigureRecorder::waitSeconds, q);
    }

    private static double quantile(
            List<RequestRun> runs, Predicate<RequestRun> filter, ToDoubleFunction<RequestRun> value, double q) {
        double[] sorted =
                runs.stream().filter(filter).mapToDouble(value).sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, Math.floor(q * sorted.length))];
    }

    private static double mean(
            List<RequestRun> runs, Predicate<RequestRun> filter, ToDoubleFunction<RequestRun> value) {
        return runs.stream().filter(filter).mapToDouble(value).average().orElse(0);
    }

    private double goodput(Predicate<Integer> isIncluded) {
        long tokens = 0;
        int seconds = 0;
        for (int s = 0; s < tokensBySecond.length; s++) {
            if (isIncluded.test(s)) {
                tokens += tokensBySecond[s];
                seconds++;
            }
        }
        return seconds == 0 ? 0 : (double) tokens / seconds;
    }

    /**
     * Returns the tokens delivered during peaks to requests that met the target for the first token and never stalled,
     * per second of peak.
     */
    private double usefulPeakTokensPerSecond() {
        int seconds = 0;
        for (int s = 0; s < scenario.arrivalSeconds(); s++) {
            seconds += scenario.isPeak(s) ? 1 : 0;
        }
        double tokens = 0;
        for (RequestRun r : runs) {
            if (isDone(r) && r.stallMicros == 0 && firstTokenSeconds(r) <= FIRST_TOKEN_TARGET_SECONDS) {
                tokens += r.peakTokens;
            }
        }
        return seconds == 0 ? 0 : tokens / seconds;
    }

    private double largestRequestTokens() {
        return runs.stream()
                .mapToDouble(r -> r.spec.work().promptTokens() + (double) r.spec.outputTokens())
                .max()
                .orElse(1);
    }

    /** Returns the greatest difference in served tokens between the first two customers while both are backlogged. */
    private double fairnessGapTokens() {
        long[] a = servedTokensBySecond.get("c0");
        long[] b = servedTokensBySecond.get("c1");
        if (a == null || b == null) {
            return 0;
        }
        long gap = 0;
        double maxGap = 0;
        for (int s = Scenario.WARM_UP_SECONDS; s < scenario.arrivalSeconds(); s++) {
            gap += a[s] - b[s];
            maxGap = Math.max(maxGap, (double) Math.abs(gap));
        }
        return maxGap;
    }
}
