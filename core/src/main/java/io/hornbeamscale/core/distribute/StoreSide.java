package io.hornbeamscale.core.distribute;

import java.util.List;
import java.util.random.RandomGenerator;

/** Decides when this node calls the store: a check and a read at the start, watches afterwards, pauses on failures. */
final class StoreSide {
    static final long WATCH_MILLIS = 10_000;

    private static final long FIRST_PAUSE_MILLIS = 100;
    private static final long MAX_PAUSE_MILLIS = 5_000;
    private static final int MAX_DOUBLINGS = 10;
    /** A caller that never reports a reply must not stop this node from ever asking again. */
    private static final long LOST_REPLY_MILLIS = 30_000;

    private final RandomGenerator random;
    private long presentRevision = -1;
    private long nextMillis;
    private long pendingSince;
    private boolean isPending;
    private int failures;

    StoreSide(RandomGenerator random) {
        this.random = random;
    }

    /** Spreads the first call of nodes that start together. */
    void delayFirst(long nowMillis, long spreadMillis) {
        nextMillis = nowMillis + random.nextLong(spreadMillis + 1);
    }

    boolean isVerified() {
        return presentRevision >= 0;
    }

    boolean hasFailed() {
        return failures > 0;
    }

    /** Returns the revision that the store confirmed, -1 if it has not. */
    long presentRevision() {
        return presentRevision;
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
        boolean isLost = isPending && nowMillis - pendingSince >= LOST_REPLY_MILLIS;
        if ((isPending && !isLost) || nowMillis < nextMillis) {
            return;
        }
        isPending = true;
        pendingSince = nowMillis;
        actions.add(action);
    }

    void verified(long revision) {
        isPending = false;
        failures = 0;
        presentRevision = Math.max(presentRevision, revision);
    }

    void answered() {
        isPending = false;
        failures = 0;
    }

    /** Notes that the store did not answer, or answered with an older state. */
    void failed(long nowMillis) {
        isPending = false;
        failures++;
        int doublings = Math.min(MAX_DOUBLINGS, failures - 1);
        long bound = Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << doublings);
        nextMillis = nowMillis + bound / 2 + random.nextLong(bound / 2 + 1);
    }
}
