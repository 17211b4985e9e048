package io.hornbeamscale.core.quarantine;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks the requests in flight at an agent and reports them when the engine crashes. Each status repeats the reports
 * of recent crashes, so that entries which were not connected receive them. Not safe for use by several threads.
 */
public final class CrashReporter {
    /** How long a report is repeated in each status, in milliseconds. */
    static final long REPEAT_MILLIS = 30_000;

    private static final int MAX_REPORTS = 8;

    private final String prefix;
    private final Map<AttemptId, RequestFingerprint> inFlight = new HashMap<>();
    private final Deque<TimedReport> reports = new ArrayDeque<>();
    private long crashes;

    /**
     * Creates a reporter without requests and reports.
     *
     * @param backend the backend server, not null
     * @param incarnation the incarnation of the agent
     */
    public CrashReporter(BackendId backend, long incarnation) {
        prefix = Arguments.notNull(backend, "backend") + "." + incarnation + ".";
    }

    /**
     * Records that the engine started to process a request.
     *
     * @param attempt the attempt, not null
     * @param fingerprint the fingerprint of the request, not null
     * @param nowMillis the present time
     */
    public void started(AttemptId attempt, RequestFingerprint fingerprint, long nowMillis) {
        inFlight.put(Arguments.notNull(attempt, "attempt"), Arguments.notNull(fingerprint, "fingerprint"));
    }

    /**
     * Records that the engine no longer processes a request. Does nothing if the attempt is unknown.
     *
     * @param attempt the attempt, not null
     * @param nowMillis the present time
     */
    public void ended(AttemptId attempt, long nowMillis) {
        inFlight.remove(attempt);
    }

    /**
     * Records a crash of the engine. All requests in flight count as ended.
     *
     * @param nowMillis the present time
     * @return the report to send to the entries, empty if no request was in flight
     */
    public Optional<CrashReport> crashed(long nowMillis) {
        crashes++;
        if (inFlight.isEmpty()) {
            return Optional.empty();
        }
        CrashReport report = new CrashReport(prefix + crashes, Set.copyOf(inFlight.values()));
        inFlight.clear();
        reports.add(new TimedReport(report, nowMillis));
        if (reports.size() > MAX_REPORTS) {
            reports.remove();
        }
        return Optional.of(report);
    }

    /**
     * Returns the reports to include in the next status.
     *
     * @param nowMillis the present time
     * @return the recent reports, oldest first, never null
     */
    public List<CrashReport> recent(long nowMillis) {
        reports.removeIf(r -> nowMillis - r.crashedMillis() >= REPEAT_MILLIS);
        return reports.stream().map(TimedReport::report).toList();
    }

    private record TimedReport(CrashReport report, long crashedMillis) {}
}
