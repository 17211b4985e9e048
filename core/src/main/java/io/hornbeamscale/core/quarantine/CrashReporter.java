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
 * The agent's list of requests in flight and of recent crashes. Reports are repeated in each status for a while, so
 * that entries which were not connected receive them. Not safe for use by several threads.
 */
public final class CrashReporter {
    /** How long a report is repeated, in milliseconds. */
    static final long REPEAT_MILLIS = 30_000;

    private static final int MAX_REPORTS = 8;

    private final String prefix;
    private final Map<AttemptId, RequestFingerprint> inFlight = new HashMap<>();
    private final Deque<TimedReport> reports = new ArrayDeque<>();
    private long crashes;

    /**
     * Creates an empty log.
     *
     * @param backend the backend server, not null
     * @param incarnation the incarnation of the agent
     */
    public CrashReporter(BackendId backend, long incarnation) {
        prefix = Arguments.notNull(backend, "backend") + "." + incarnation + ".";
    }

    /**
     * Notes a request that the engine works on.
     *
     * @param attempt the attempt, not null
     * @param fingerprint the request, not null
     * @param nowMillis the present time
     */
    public void started(AttemptId attempt, RequestFingerprint fingerprint, long nowMillis) {
        inFlight.put(Arguments.notNull(attempt, "attempt"), Arguments.notNull(fingerprint, "fingerprint"));
    }

    /**
     * Notes a request that the engine no longer works on.
     *
     * @param attempt the attempt, not null
     * @param nowMillis the present time
     */
    public void ended(AttemptId attempt, long nowMillis) {
        inFlight.remove(attempt);
    }

    /**
     * Notes a crash of the engine.
     *
     * @param nowMillis the present time
     * @return the report to send to the entries, empty if nothing was in flight
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
     * Returns the reports that belong into the next status.
     *
     * @param nowMillis the present time
     * @return the recent reports, oldest first, never null
     */
    public List<CrashReport> recent(long nowMillis) {
        reports.removeIf(dated -> nowMillis - dated.sinceMillis() >= REPEAT_MILLIS);
        return reports.stream().map(TimedReport::report).toList();
    }

    private record TimedReport(CrashReport report, long sinceMillis) {}
}
