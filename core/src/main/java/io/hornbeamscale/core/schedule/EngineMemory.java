package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.work.EngineLoad;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Accounts for the memory of one engine: exactly for work that this agent admitted, and by load reports for other work.
 * Decides whether another request fits with the predicted peak of memory use.
 */
final class EngineMemory {
    /** The time after which predictions are computed again, since running responses have grown. */
    private static final long PREDICTION_TTL_MILLIS = 50;
    /** The half-life of the recorded peak use of short work. */
    private static final double SHORT_PEAK_HALF_LIFE_MILLIS = 20_000;

    private final SchedulerConfig config;
    private final Map<AttemptId, AdmittedAttempt> admitted = new LinkedHashMap<>();
    private final PeakProfile all = new PeakProfile();
    private final PeakProfile longOnly = new PeakProfile();
    private final ExternalMemoryUse external;
    private final Headroom headroom = new Headroom();
    private long usedTokens;
    private double shortTokens;
    private int longCount;
    private double shortCountPeak;
    private double shortPeak;
    private long shortPeakMillis;
    private long computedMillis = Long.MIN_VALUE / 2;
    private long seenPreemptions = -1;

    EngineMemory(SchedulerConfig config) {
        this.config = config;
        this.external = new ExternalMemoryUse(config.capacityTokens());
    }

    AdmittedAttempt get(AttemptId attempt) {
        return admitted.get(attempt);
    }

    boolean contains(AttemptId attempt) {
        return admitted.containsKey(attempt);
    }

    Collection<AdmittedAttempt> all() {
        return List.copyOf(admitted.values());
    }

    int size() {
        return admitted.size();
    }

    long usedTokens() {
        return usedTokens;
    }

    void add(AdmittedAttempt a) {
        admitted.put(a.reservation.attempt(), a);
        usedTokens += a.tokens();
        all.add(a.lengths, a.promptTokens, 0, a.maxTokens, 1);
        if (a.isLong) {
            longCount++;
            longOnly.add(a.lengths, a.promptTokens, 0, a.maxTokens, 1);
        } else {
            shortTokens += a.tokens();
        }
    }

    /** Removes an attempt and returns it, or null if it is unknown. */
    AdmittedAttempt remove(AttemptId attempt) {
        AdmittedAttempt a = admitted.remove(attempt);
        if (a != null) {
            usedTokens -= a.tokens();
            shortTokens -= a.isLong ? 0 : a.tokens();
            longCount -= a.isLong ? 1 : 0;
            computedMillis = Long.MIN_VALUE / 2;
        }
        return a;
    }

    void addTokens(AdmittedAttempt a, int tokens, double longTokens) {
        a.emitted += tokens;
        usedTokens += tokens;
        if (a.isLong) {
            return;
        }
        shortTokens += tokens;
        if (a.emitted > longTokens) {
            // The prediction was wrong: from now on the response counts as long work.
            a.isLong = true;
            longCount++;
            shortTokens -= a.tokens();
        }
    }

    void preempted() {
        headroom.preempted();
    }

    void report(EngineLoad load) {
        external.report(load);
        if (seenPreemptions >= 0 && load.preemptions() > seenPreemptions) {
            headroom.preempted();
        }
        seenPreemptions = load.preemptions();
    }

    /** Records a preemption that the agent observed itself, so that the next load report does not count it again. */
    void recordOwnPreemption() {
        headroom.preempted();
        seenPreemptions = seenPreemptions < 0 ? -1 : seenPreemptions + 1;
    }

    void tick(double waitingShortTokens, long nowMillis) {
        external.recordOwnUse(usedTokens, nowMillis);
        headroom.tick(nowMillis);
        double decay = Math.pow(0.5, Math.max(0, nowMillis - shortPeakMillis) / SHORT_PEAK_HALF_LIFE_MILLIS);
        shortPeak = Math.max(shortPeak * decay, shortTokens + waitingShortTokens);
        shortCountPeak = Math.max(shortCountPeak * decay, (double) admitted.size() - longCount);
        shortPeakMillis = nowMillis;
    }

    /**
     * Returns whether a request fits into the engine.
     *
     * @param limit the maximum number of concurrent requests
     * @param isShortRestricted whether long work has waited so long that short work must stay within its own share
     */
    boolean fits(QueuedReservation q, int limit, boolean isShortRestricted, long nowMillis) {
        int slots = q.isLong ? limit : Math.min(config.maxRunning(), limit + shortShareSlots(limit));
        if (admitted.size() >= slots) {
            return false;
        }
        if (config.capacityTokens() == 0 || admitted.isEmpty()) {
            return true;
        }
        double capacity = config.capacityTokens() - external.tokens(nowMillis);
        int prompt = q.reservation.work().promptTokens();
        if (!config.isPredictive()) {
            return usedTokens + prompt < capacity;
        }
        refresh(nowMillis);
        double share = shortShareTokens(capacity);
        if (isShortRestricted && !q.isLong && shortTokens + q.tokens() > share) {
            return false;
        }
        if (q.isLong && peakWith(longOnly, q) > capacity - share) {
            return false;
        }
        return peakWith(all, q) <= capacity;
    }

    /**
     * Returns the tokens reserved for short work: the configured share, at most twice the recent peak of short work.
     */
    private double shortShareTokens(double capacity) {
        return Math.min(capacity * config.shortSharePercent() / 100, 2 * shortPeak);
    }

    /** Returns the slots beyond the limit that only short work may use, by the same rule. */
    private int shortShareSlots(int limit) {
        return (int) Math.min(limit * config.shortSharePercent() / 100.0, 2 * shortCountPeak);
    }

    private double peakWith(PeakProfile profile, QueuedReservation q) {
        int prompt = q.reservation.work().promptTokens();
        int max = q.reservation.work().maxTokens();
        profile.add(q.lengths, prompt, 0, max, 1);
        double peak = profile.peak(headroom.deviations());
        profile.add(q.lengths, prompt, 0, max, -1);
        return peak;
    }

    private void refresh(long nowMillis) {
        if (nowMillis - computedMillis < PREDICTION_TTL_MILLIS) {
            return;
        }
        computedMillis = nowMillis;
        all.reset(admitted.values());
        longOnly.reset(admitted.values().stream().filter(a -> a.isLong).toList());
    }

    /** Returns the predicted peak of memory use as a share of the capacity. */
    double pressure(long nowMillis) {
        if (config.capacityTokens() == 0) {
            return (double) admitted.size() / config.maxRunning();
        }
        refresh(nowMillis);
        return (all.peak(0) + external.tokens(nowMillis)) / config.capacityTokens();
    }

    double deviations() {
        return headroom.deviations();
    }
}
