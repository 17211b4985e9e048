package io.hornbeamscale.console;

import java.util.LinkedHashMap;
import java.util.Map;

/** Limits failed sign-ins for each operator name and each client address, against guessing of passwords. */
final class LoginThrottle {
    static final int MAX_FAILURES = 5;
    static final long WINDOW_MILLIS = 5 * 60 * 1_000L;

    // Bounds the memory that guesses under many names can take.
    private static final int MAX_ENTRIES = 10_000;

    private record Failures(int count, long firstMillis) {}

    private final Map<String, Failures> failures = new LinkedHashMap<>();

    synchronized boolean isAllowed(String subject, long nowMillis) {
        Failures past = failures.get(subject);
        return past == null || past.count() < MAX_FAILURES || nowMillis - past.firstMillis() >= WINDOW_MILLIS;
    }

    synchronized void failed(String subject, long nowMillis) {
        Failures past = failures.remove(subject);
        boolean isNew = past == null || nowMillis - past.firstMillis() >= WINDOW_MILLIS;
        failures.put(subject, isNew ? new Failures(1, nowMillis) : new Failures(past.count() + 1, past.firstMillis()));
        if (failures.size() > MAX_ENTRIES) {
            failures.remove(failures.keySet().iterator().next());
        }
    }

    synchronized void succeeded(String subject) {
        failures.remove(subject);
    }
}
