package io.hornbeamscale.measure.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;

/** Collects what callers see and turns it into figures. */
final class Recorder {
    /** A gap counts as a stall beyond three times the target between tokens. */
    private static final long STALL_MICROS = 100_000;

    private static final double FIRST_TOKEN_SECONDS = 1.4;
    private static final double SECOND = 1_000_000;

    private final Scenario scenario;
    private final List<RequestRun> runs = new ArrayList<>();
    private final Histogram gaps = new Histogram(3_600_000_000L, 3);
    private final Map<String, long[]> servedBySecond = new LinkedHashMap<>();
    private final long[] tokensBySecond = new long[4_000];
    private long preemptions;
    private long steppedAside;

    Recorder(Scenario scenario) {
        this.scenario = scenario;
    }

    void add(RequestRun run) {
        runs.add(run);
    }

    void token(RequestRun run, Object attempt, long nowMicros) {
        if (run.isOver() || (run.delivering != null && run.delivering != attempt)) {
            return;
        }
        if (run.delivering == null) {
            run.delivering = attempt;
            run.state = RequestRun.State.STREAMING;
            if (run.firstMicros < 0) {
                run.firstMicros = nowMicros;
            }
        } else {
            long gap = nowMicros - run.lastMicros;
            if (run.spec.isMeasured()) {
                gaps.recordValue(gap);
            }
            run.stallMicros += Math.max(0, gap - STALL_MICROS);
        }
        run.peakTokens += scenario.isPeak(nowMicros / SECOND) ? 1 : 0;
        run.lastMicros = nowMicros;
        int second = (int) Math.min(tokensBySecond.length - 1, nowMicros / 1_000_000);
        tokensBySecond[second]++;
        served(run.spec.work().customer().value(), second, 1);
    }

    private void served(String customer, int second, int tokens) {
        servedBySecond.computeIfAbsent(customer, k -> new long[tokensBySecond.length])[second] += tokens;
    }

    void admitted(RequestRun run, long nowMicros) {
        if (run.admittedMicros < 0) {
            run.admittedMicros = nowMicros;
            int second = (int) Math.min(tokensBySecond.length - 1, nowMicros / 1_000_000);
            served(run.spec.work().customer().value(), second, run.spec.work().promptTokens());
        }
    }

    void preempted(RequestRun run) {
        if (run.spec.isMeasured()) {
            preemptions++;
        }
    }

    void secondAttempt() {
        steppedAside++;
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
                measured.stream().mapToDouble(r -> r.stallMicros / SECOND).sum());
        f.put("preemptions", (double) preemptions);
        f.put("short_wait_p50_s", waitQuantile(measured, r -> r.spec.isShort(), 0.5));
        f.put("short_wait_p99_s", waitQuantile(measured, r -> r.spec.isShort(), 0.99));
        f.put("long_wait_p99_s", waitQuantile(measured, r -> !r.spec.isShort(), 0.99));
        f.put("long_done_mean_s", mean(measured, r -> !r.spec.isShort() && isDone(r), Recorder::completion));
        f.put("long_done_p99_s", quantile(measured, r -> !r.spec.isShort() && isDone(r), Recorder::completion, 0.99));
        f.put("long_lost", (double)
                measured.stream().filter(r -> !r.spec.isShort() && !isDone(r)).count());
        f.put("ttft_p95_s", quantile(measured, r -> r.firstMicros >= 0, Recorder::firstToken, 0.95));
        f.put("ttft_p99_s", quantile(measured, r -> r.firstMicros >= 0, Recorder::firstToken, 0.99));
        f.put("gap_p95_ms", gaps.getValueAtPercentile(95) / 1e3);
        f.put("gap_p99_ms", gaps.getValueAtPercentile(99) / 1e3);
        f.put("goodput_tps", goodput(s -> s >= Scenario.WARM_UP_SECONDS && s < scenario.seconds()));
        f.put("peak_goodput_tps", goodput(s -> s < scenario.seconds() && scenario.isPeak(s)));
        f.put("useful_peak_tps", usefulAtPeak());
        f.put("fair_gap_tokens", fairGap());
        f.put("fair_ratio", fairGap() / (2 * largest()));
        f.put(
                "others_wait_p99_s",
                waitQuantile(measured, r -> !r.spec.work().customer().value().equals("c0"), 0.99));
        f.put("remote_share", mean(measured, r -> true, r -> r.isRemote ? 1 : 0));
        f.put("second_attempts", (double) steppedAside);
        f.put(
                "drained_s",
                runs.stream().mapToDouble(r -> r.lastMicros / SECOND).max().orElse(0));
        return f;
    }

    private static double count(List<RequestRun> runs, RequestRun.State state) {
        return runs.stream().filter(r -> r.state == state).count();
    }

    private static boolean isDone(RequestRun r) {
        return r.state == RequestRun.State.DONE;
    }

    private static double completion(RequestRun r) {
        return (r.lastMicros - r.spec.arrivalMicros()) / SECOND;
    }

    private static double firstToken(RequestRun r) {
        return (r.firstMicros - r.spec.arrivalMicros()) / SECOND;
    }

    /** The time until the engine admits the request; a caller that was not served waited as long as its patience. */
    private static double waited(RequestRun r) {
        if (r.admittedMicros < 0) {
            return (r.spec.work().deadlineMillis() - r.spec.work().arrivedMillis()) / 1e3;
        }
        return (r.admittedMicros - r.spec.arrivalMicros()) / SECOND;
    }

    private static double waitQuantile(List<RequestRun> runs, Predicate<RequestRun> filter, double q) {
        return quantile(runs, filter, Recorder::waited, q);
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

    private double goodput(Predicate<Integer> isIn) {
        long tokens = 0;
        int seconds = 0;
        for (int s = 0; s < tokensBySecond.length; s++) {
            if (isIn.test(s)) {
                tokens += tokensBySecond[s];
                seconds++;
            }
        }
        return seconds == 0 ? 0 : (double) tokens / seconds;
    }

    /**
     * Tokens delivered during peaks to requests that met the target for the first token and never stalled, per second
     * of peak.
     */
    private double usefulAtPeak() {
        int seconds = 0;
        for (int s = 0; s < scenario.seconds(); s++) {
            seconds += scenario.isPeak(s) ? 1 : 0;
        }
        double tokens = 0;
        for (RequestRun r : runs) {
            if (isDone(r) && r.stallMicros == 0 && firstToken(r) <= FIRST_TOKEN_SECONDS) {
                tokens += r.peakTokens;
            }
        }
        return seconds == 0 ? 0 : tokens / seconds;
    }

    private double largest() {
        return runs.stream()
                .mapToDouble(r -> r.spec.work().promptTokens() + (double) r.spec.outputTokens())
                .max()
                .orElse(1);
    }

    /** The greatest difference in served tokens between the first two customers while both are backlogged. */
    private double fairGap() {
        long[] a = servedBySecond.get("c0");
        long[] b = servedBySecond.get("c1");
        if (a == null || b == null) {
            return 0;
        }
        long gap = 0;
        double worst = 0;
        for (int s = Scenario.WARM_UP_SECONDS; s < scenario.seconds(); s++) {
            gap += a[s] - b[s];
            worst = Math.max(worst, (double) Math.abs(gap));
        }
        return worst;
    }
}
