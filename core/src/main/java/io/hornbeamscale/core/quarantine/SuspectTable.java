package io.hornbeamscale.core.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Requests that were in flight at a crash, and the crashes for which they are suspected. */
final class SuspectTable {
    private static final int MAX_SUSPECTS = 4_096;
    private static final int MAX_CRASHES = 512;
    private static final long SUSPECT_MILLIS = 3_600_000;

    private final Map<RequestFingerprint, SuspectEntry> suspects = new LinkedHashMap<>();
    private final Set<String> seenCrashes = new LinkedHashSet<>();

    boolean isEmpty() {
        return suspects.isEmpty();
    }

    boolean isSuspect(RequestFingerprint fingerprint, long nowMillis) {
        SuspectEntry suspect = suspects.get(fingerprint);
        return suspect != null && nowMillis - suspect.sinceMillis() < SUSPECT_MILLIS;
    }

    boolean clear(RequestFingerprint fingerprint) {
        return suspects.remove(fingerprint) != null;
    }

    /** Removes a quarantined request, and the suspects that are suspected only for crashes of that request. */
    void quarantined(RequestFingerprint fingerprint) {
        SuspectEntry suspect = suspects.remove(fingerprint);
        if (suspect != null) {
            suspects.values().removeIf(other -> suspect.crashes().containsAll(other.crashes()));
        }
    }

    /**
     * Handles a crash and returns the requests to quarantine. A single request in flight that was a suspect before is
     * taken as the cause: it is quarantined, the other requests in flight are not suspected, and suspects of only its
     * earlier crashes are cleared. If several requests in flight were suspects before, they remain the only suspects of
     * their crashes. A crash that a quarantined request can explain, or that was reported before, has no effect.
     */
    List<RequestFingerprint> crashed(CrashReport report, Set<RequestFingerprint> known, long nowMillis) {
        if (!isFirstReport(report.crashId())) {
            return List.of();
        }
        Set<RequestFingerprint> inFlight = new HashSet<>(report.inFlight());
        if (inFlight.stream().anyMatch(known::contains)) {
            return List.of();
        }
        List<RequestFingerprint> repeated = new ArrayList<>();
        for (RequestFingerprint fingerprint : inFlight) {
            if (isSuspect(fingerprint, nowMillis)) {
                repeated.add(fingerprint);
            }
        }
        if (repeated.isEmpty()) {
            for (RequestFingerprint fingerprint : inFlight) {
                suspects.put(fingerprint, new SuspectEntry(Set.of(report.crashId()), nowMillis));
            }
            evictOldest();
            return List.of();
        }
        if (repeated.size() == 1) {
            quarantined(repeated.get(0));
            return repeated;
        }
        Set<String> explained = new HashSet<>();
        for (RequestFingerprint fingerprint : repeated) {
            explained.addAll(suspects.get(fingerprint).crashes());
            addCrash(fingerprint, report.crashId(), nowMillis);
        }
        suspects.entrySet()
                .removeIf(entry -> !repeated.contains(entry.getKey())
                        && explained.containsAll(entry.getValue().crashes()));
        return List.of();
    }

    private void addCrash(RequestFingerprint fingerprint, String crashId, long nowMillis) {
        Set<String> crashes = new HashSet<>(suspects.get(fingerprint).crashes());
        crashes.add(crashId);
        suspects.put(fingerprint, new SuspectEntry(Set.copyOf(crashes), nowMillis));
    }

    private boolean isFirstReport(String crashId) {
        boolean isNew = seenCrashes.add(crashId);
        Iterator<String> oldestFirst = seenCrashes.iterator();
        while (seenCrashes.size() > MAX_CRASHES) {
            oldestFirst.next();
            oldestFirst.remove();
        }
        return isNew;
    }

    private void evictOldest() {
        Iterator<RequestFingerprint> oldestFirst = suspects.keySet().iterator();
        while (suspects.size() > MAX_SUSPECTS) {
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    private record SuspectEntry(Set<String> crashes, long sinceMillis) {}
}
