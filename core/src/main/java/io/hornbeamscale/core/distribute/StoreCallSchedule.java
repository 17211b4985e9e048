package io.hornbeamscale.core.distribute;

import java.util.List;
import java.util.random.RandomGenerator;

/** Decides when this node calls the store: a check and a read at the start, watches afterwards, pauses on failures. */
final class StoreCallSchedule {
    static final long WATCH_MILLIS = 10_000;

    private static final long FIRST_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 5_000;
    private static final int MAX_DOUBLINGS = 10;
    /** A caller that never reports a reply must not stop this node from ever asking again. */
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

    /** Spreads the first call of nodes that start together. */
    void delayFirstCall(long nowMillis, long spreadMillis) {
        nextCallMillis = nowMillis + random.nextLong(spreadMillis + 1);
    }

    boolean hasConfirmedRevision() {
        return confirmedRevision >= 0;
    }

    boolean hasFailed() {
        return failures > 0;
    }

    /** Returns the revision that the store confirmed, -1 if it has not. */
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

    /** Notes that the store did not answer, or answered with an older state. */
    void failed(long nowMillis) {
        isPending = false;
        failures++;
        int doublings = Math.min(MAX_DOUBLINGS, failures - 1);
        long bound = Math.min(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << doublings);
        nextCallMillis = nowMillis + bound / 2 + random.nextLong(bound / 2 + 1);
    }
}
