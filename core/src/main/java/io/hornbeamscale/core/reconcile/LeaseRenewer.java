package io.hornbeamscale.core.reconcile;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.List;
import java.util.random.RandomGenerator;

/** Acquires and renews one lease. Its validity is counted from the sending of the call, so a slow reply shortens it. */
final class LeaseRenewer {
    static final long TTL_MILLIS = 10_000;

    /** The holder stops this long before the lease ends, which is the time limit of a command that is in transit. */
    private static final long SAFETY_MARGIN_MILLIS = 2_500;

    private static final long RENEW_INTERVAL_MILLIS = 3_000;
    private static final long RETRY_INTERVAL_MILLIS = 1_000;
    private static final long REPLY_TIMEOUT_MILLIS = 30_000;

    private final String key;
    private final String owner;
    private final RandomGenerator random;
    private long fence;
    private long validUntilMillis = Long.MIN_VALUE;
    private long sentMillis;
    private long nextCallMillis = Long.MIN_VALUE;
    private boolean isPending;
    private boolean isCandidate;

    LeaseRenewer(String key, String owner, RandomGenerator random) {
        this.key = key;
        this.owner = owner;
        this.random = random;
    }

    void setCandidate(boolean value, List<ReconcileAction> actions) {
        if (isCandidate && !value && validUntilMillis != Long.MIN_VALUE) {
            actions.add(new ReconcileAction.CallStore(new StoreCall.ReleaseLease(key, owner)));
            markLost();
        }
        isCandidate = value;
    }

    boolean isHeld(long nowMillis) {
        return isCandidate && nowMillis < validUntilMillis;
    }

    long fence() {
        return fence;
    }

    void markLost() {
        validUntilMillis = Long.MIN_VALUE;
    }

    void tick(long nowMillis, List<ReconcileAction> actions) {
        boolean isReplyLost = isPending && nowMillis - sentMillis >= REPLY_TIMEOUT_MILLIS;
        if (!isCandidate || (isPending && !isReplyLost) || nowMillis < nextCallMillis) {
            return;
        }
        isPending = true;
        sentMillis = nowMillis;
        actions.add(new ReconcileAction.CallStore(new StoreCall.AcquireLease(key, owner, TTL_MILLIS)));
    }

    void storeReplied(StoreReply reply, long nowMillis) {
        if (!isPending) {
            return;
        }
        isPending = false;
        if (reply instanceof StoreReply.Leased leased) {
            fence = leased.fence();
            validUntilMillis = sentMillis + leased.ttlMillis() - SAFETY_MARGIN_MILLIS;
            nextCallMillis = nowMillis + RENEW_INTERVAL_MILLIS;
            return;
        }
        if (reply instanceof StoreReply.Conflict) {
            markLost();
        }
        nextCallMillis = nowMillis + RETRY_INTERVAL_MILLIS / 2 + random.nextLong(RETRY_INTERVAL_MILLIS);
    }
}
