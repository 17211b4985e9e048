package io.hornbeamscale.console;

import java.util.LinkedHashMap;
import java.util.Map;

/** Limits failed sign-ins for each operator name and each client address, to slow down password guessing. */
final class LoginThrottle {
    static final int MAX_FAILURES = 5;
    static final long WINDOW_MILLIS = 5 * 60 * 1_000L;

    // Bounds the memory for failures with many different names.
    private static final int MAX_SUBJECTS = 10_000;

    private record Failures(int count, long firstMillis) {}

    private final Map<String, Failures> failures = new LinkedHashMap<>();

    synchronized boolean isAllowed(String subject, long nowMillis) {
        Failures previous = failures.get(subject);
        return previous == null
                || previous.count() < MAX_FAILURES
                || nowMillis - previous.firstMillis() >= WINDOW_MILLIS;
    }

    synchronized void failed(String subject, long nowMillis) {
        Failures previous = failures.remove(subject);
        boolean isNew = previous == null || nowMillis - previous.firstMillis() >= WINDOW_MILLIS;
        failures.put(
                subject,
                isNew ? new Failures(1, nowMillis) : new Failures(previous.count() + 1, previous.firstMillis()));
        if (failures.size() > MAX_SUBJECTS) {
            failures.remove(failures.keySet().iterator().next());
        }
    }

    synchronized void succeeded(String subject) {
        failures.remove(subject);
    }
}
