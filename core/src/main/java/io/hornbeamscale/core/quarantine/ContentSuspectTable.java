package io.hornbeamscale.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds content that crashes engines among the content of requests in flight at crashes. Content that crashes engines
 * never appears in a successful response, so a single success refutes all earlier suspicion.
 */
final class ContentSuspectTable {
    /**
     * The minimum time between two crashes that count as separate, in milliseconds. The loss of a zone or a link takes
     * several engines at once.
     */
    static final long MIN_SEPARATION_MILLIS = 500;

    /** The number of separate crashes without a success after which content is quarantined. */
    static final int MIN_SEPARATE_CRASHES = 3;

    /** The number of crashes after which two separate ones suffice. */
    static final int MIN_CRASHES = 5;

    private static final int MIN_SEPARATE_OF_MANY_CRASHES = 2;
    private static final int MAX_CRASHES = 256;
    private static final int MAX_SUCCEEDED = 4_096;
    private static final long CRASH_TTL_MILLIS = 600_000;

    private final Map<String, Crash> crashes = new LinkedHashMap<>();
    private final Map<RequestFingerprint, Long> succeededMillis = new LinkedHashMap<>();

    /** Returns whether no crash is known. */
    boolean isEmpty() {
        return crashes.isEmpty();
    }

    /** Records a report, and returns the content to quarantine if there is any. */
    Optional<RequestFingerprint> crashed(ContentCrashReport report, Set<RequestFingerprint> known, long nowMillis) {
        dropOld(nowMillis);
        Crash crash = crashes.computeIfAbsent(report.crashId(), k -> new Crash(nowMillis));
        crash.begun.addAll(report.begun());
        crash.waiting.addAll(report.waiting());
        if (crash.isExplained(known)) {
            return Optional.empty();
        }
        RequestFingerprint worst = null;
        Suspicion strongest = null;
        for (RequestFingerprint content : crash.suspects()) {
            Suspicion suspicion = suspicion(content);
            boolean isStronger = strongest == null || suspicion.compareTo(strongest) >= 0;
            if (suspicion.isSufficient() && isStronger) {
                worst = content;
                strongest = suspicion;
            }
        }
        return Optional.ofNullable(worst);
    }

    /** Records a success, and returns whether the content was suspected before. */
    boolean succeeded(RequestFingerprint content, Set<RequestFingerprint> known, long nowMillis) {
        boolean wasSuspected = false;
        for (Crash crash : crashes.values()) {
            if (isAfterSuccess(crash, content) && crash.suspects().contains(content) && !crash.isExplained(known)) {
                wasSuspected = true;
                break;
            }
        }
        // Removal first moves the content to the end of the eviction order.
        succeededMillis.remove(content);
        succeededMillis.put(content, nowMillis);
        removeOldest(succeededMillis.keySet(), MAX_SUCCEEDED);
        return wasSuspected;
    }

    private Suspicion suspicion(RequestFingerprint content) {
        int all = 0;
        int separate = 0;
        long countedMillis = 0;
        for (Crash crash : crashes.values()) {
            if (!isAfterSuccess(crash, content) || !crash.suspects().contains(content)) {
                continue;
            }
            all++;
            if (separate == 0 || crash.atMillis - countedMillis >= MIN_SEPARATION_MILLIS) {
                separate++;
                countedMillis = crash.atMillis;
            }
        }
        return new Suspicion(all, separate, succeededMillis.containsKey(content));
    }

    private boolean isAfterSuccess(Crash crash, RequestFingerprint content) {
        Long success = succeededMillis.get(content);
        return success == null || crash.atMillis > success;
    }

    /** Drops crashes that are too old to count. */
    void dropOld(long nowMillis) {
        crashes.values().removeIf(crash -> nowMillis - crash.atMillis >= CRASH_TTL_MILLIS);
        removeOldest(crashes.keySet(), MAX_CRASHES);
    }

    private static void removeOldest(Collection<?> values, int maxSize) {
        Iterator<?> oldestFirst = values.iterator();
        while (values.size() > maxSize) {
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    /**
     * The evidence against one piece of content. The greater suspicion is the stronger one.
     *
     * @param crashes the number of crashes since its last success
     * @param separateCrashes the number of these that were separate in time
     * @param hasEverSucceeded whether a request with the content ever succeeded
     */
    private record Suspicion(int crashes, int separateCrashes, boolean hasEverSucceeded)
            implements Comparable<Suspicion> {
        boolean isSufficient() {
            return separateCrashes >= MIN_SEPARATE_CRASHES
                    || (crashes >= MIN_CRASHES && separateCrashes >= MIN_SEPARATE_OF_MANY_CRASHES);
        }

        @Override
        public int compareTo(Suspicion other) {
            if (hasEverSucceeded != other.hasEverSucceeded) {
                return hasEverSucceeded ? -1 : 1;
            }
            return Integer.compare(crashes, other.crashes);
        }
    }

    private static final class Crash {
        private final long atMillis;
        private final Set<RequestFingerprint> begun = new LinkedHashSet<>();
        private final Set<RequestFingerprint> waiting = new LinkedHashSet<>();

        Crash(long atMillis) {
            this.atMillis = atMillis;
        }

        /** Returns the content of the requests that had begun, since a request that waits cannot be the cause. */
        Set<RequestFingerprint> suspects() {
            return begun.isEmpty() ? waiting : begun;
        }

        boolean isExplained(Set<RequestFingerprint> known) {
            List<RequestFingerprint> all = new ArrayList<>(begun);
            all.addAll(waiting);
            return all.stream().anyMatch(known::contains);
        }
    }
}
