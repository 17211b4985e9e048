package io.hornbeamscale.core.distribute;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Schedules this node's calls of the store: a revision check and a read during startup, watches afterwards, and
 * exponential backoff with jitter after failures. At most one call is pending.
 */
final class StoreCallSchedule {
    static final long WATCH_MILLIS = 10_000;

    private static final long FIRST_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 5_000;
    private static final int MAX_DOUBLINGS = 10;
    /**
     * After this time a pending call counts as lost, so that a reply that is never reported does not block later calls.
     */
    private static final long REPLY_TIMEOUT_MILLIS = 30_000;

    private final RandomGenerator random;
    private long confirmedRevision = -1;
    private long nextCallMillis;
    private long pendingSinceMillis;
    private boolean isPending;
    private int failures;

    StoreCallSchedule(RandomGenerator random) {
        this.random = random;
    }

    /** Delays the first call by a random time, to spread the calls of nodes that start at the same time. */
    void delayFirstCall(long nowMillis, long spreadMillis) {
        nextCallMillis = nowMillis + random.nextLong(spreadMillis + 1);
    }

    boolean hasConfirmedRevision() {
        return confirmedRevision >= 0;
    }

    boolean hasFailed() {
        return failures > 0;
    }

    /** Returns the highest revision that the store has confirmed, -1 for none. */
    long confirmedRevision() {
        return confirmedRevision;
    }

    void check(long nowMillis, List<DistributionAction> actions) {
        call(new DistributionAction.CheckRevision(), nowMillis, actions);
    }

    void read(long nowMillis, List<DistributionAction> actions) {
        call(new DistributionAction.ReadStore(), nowMillis, actions);
    }

    void watch(long afterRevision, long nowMillis, List<DistributionAction> actions) {
        call(new DistributionAction.WatchStore(afterRevision, WATCH_MILLIS), nowMillis, actions);
    }

    private void call(DistributionAction action, long nowMillis, List<DistributionAction> actions) {
        boolean isLost = isPending && nowMillis - pendingSinceMillis >= REPLY_TIMEOUT_MILLIS;
        if ((isPending && !isLost) || nowMillis < nextCallMillis) {
            return;
        }
        isPending = true;
        pendingSinceMillis = nowMillis;
        actions.add(action);
    }

    void revisionConfirmed(long revision) {
        isPending = false;
        failures = 0;
        confirmedRevision = Math.max(confirmedRevision, revision);
    }

    void replied() {
        isPending = false;
        failures = 0;
    }

    /** Schedules a retry after a missing reply or a reply with an outdated state. */
    void failed(long nowMillis) {
        isPending = false;
        failures++;
        int doublings = Math.min(MAX_DOUBLINGS, failures - 1);
        long maxDelayMillis = Math.min(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << doublings);
        nextCallMillis = nowMillis + maxDelayMillis / 2 + random.nextLong(maxDelayMillis / 2 + 1);
    }
}
