package io.hornbeamscale.core.faults;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Statistics of one or more simulations. */
final class RunStatistics {
    long runs;
    long executions;
    long unavailableClaims;
    long askedClaims;
    long storeCalls;
    long maxCrashesPerRequest;
    long maxDrainToLastStartMillis;
    long maxDrainToLastReserveMillis;
    private final Map<FaultKind, Long> faults = new EnumMap<>(FaultKind.class);
    private final Map<String, Long> endings = new TreeMap<>();
    private final Map<String, long[]> availability = new TreeMap<>();
    private final Map<String, Long> violations = new TreeMap<>();

    void count(FaultKind fault) {
        faults.merge(fault, 1L, Long::sum);
    }

    long injected(FaultKind fault) {
        return faults.getOrDefault(fault, 0L);
    }

    void ending(CallKind kind, String ending) {
        endings.merge(kind + " " + ending, 1L, Long::sum);
    }

    void violation(String violation) {
        violations.merge(violation.substring(0, violation.indexOf(':')), 1L, Long::sum);
    }

    long violations() {
        return violations.values().stream().mapToLong(Long::longValue).sum();
    }

    long slowestMillis(FaultKind fault, CallKind kind) {
        return availability.getOrDefault(fault + " " + kind, new long[3])[2];
    }

    long violations(String invariant) {
        return violations.getOrDefault(invariant, 0L);
    }

    /**
     * Counts a call that ended in a run with at most one kind of fault: all calls, calls not served, longest time to
     * end.
     */
    void availability(String fault, CallKind kind, boolean isServed, long millis) {
        long[] counts = availability.computeIfAbsent(fault + " " + kind, key -> new long[3]);
        counts[0]++;
        counts[1] += isServed ? 0 : 1;
        counts[2] = isServed ? Math.max(counts[2], millis) : counts[2];
    }

    long notServed(FaultKind fault, CallKind kind) {
        return availability.getOrDefault(fault + " " + kind, new long[3])[1];
    }

    void add(RunStatistics other) {
        runs += other.runs;
        executions += other.executions;
        unavailableClaims += other.unavailableClaims;
        askedClaims += other.askedClaims;
        storeCalls += other.storeCalls;
        maxCrashesPerRequest = Math.max(maxCrashesPerRequest, other.maxCrashesPerRequest);
        maxDrainToLastStartMillis = Math.max(maxDrainToLastStartMillis, other.maxDrainToLastStartMillis);
        maxDrainToLastReserveMillis = Math.max(maxDrainToLastReserveMillis, other.maxDrainToLastReserveMillis);
        other.faults.forEach((fault, count) -> faults.merge(fault, count, Long::sum));
        other.endings.forEach((ending, count) -> endings.merge(ending, count, Long::sum));
        other.violations.forEach((violation, count) -> violations.merge(violation, count, Long::sum));
        other.availability.forEach((key, counts) ->
                availability.merge(key, counts, (a, b) -> new long[] {a[0] + b[0], a[1] + b[1], Math.max(a[2], b[2])}));
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        line(text, "interleavings: %d, violations: %d %s", runs, violations(), violations);
        line(text, "faults injected: %s", faults);
        line(text, "executions: %d, store calls: %d", executions, storeCalls);
        line(
                text,
                "claims requested: %d, refused because the store was unavailable: %d",
                askedClaims,
                unavailableClaims);
        line(text, "maximum number of engines crashed by one request: %d", maxCrashesPerRequest);
        line(
                text,
                "drain, longest time from the signal to the last start: %d ms, to the last reservation: %d ms",
                maxDrainToLastStartMillis,
                maxDrainToLastReserveMillis);
        line(text, "endings: %s", endings);
        availability.forEach((key, counts) -> line(
                text,
                "%-34s calls %7d, not served %6.2f %%, slowest response %6d ms",
                key,
                counts[0],
                100.0 * counts[1] / counts[0],
                counts[2]));
        return text.toString();
    }

    private static void line(StringBuilder text, String format, Object... arguments) {
        text.append(String.format(Locale.ROOT, format, arguments)).append('\n');
    }
}
