package io.hornbeamscale.core.reconcile;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.List;
import java.util.random.RandomGenerator;

/** Acquires and renews one lease. Its end is counted from the sending of the call, so a slow reply only shortens it. */
final class LeaseKeeper {
    static final long TTL_MILLIS = 10_000;

    /** The holder stops before the lease ends by the call budget of a command that is on its way. */
    private static final long MARGIN_MILLIS = 2_500;

    private static final long RENEW_MILLIS = 3_000;
    private static final long RETRY_MILLIS = 1_000;
    private static final long LOST_REPLY_MILLIS = 30_000;

    private final String key;
    private final String owner;
    private final RandomGenerator random;
    private long fence;
    private long validUntilMillis = Long.MIN_VALUE;
    private long sentMillis;
    private long nextMillis = Long.MIN_VALUE;
    private boolean isPending;
    private boolean isCandidate;

    LeaseKeeper(String key, String owner, RandomGenerator random) {
        this.key = key;
        this.owner = owner;
        this.random = random;
    }

    void candidate(boolean value, List<ReconcileAction> actions) {
        if (isCandidate && !value && validUntilMillis != Long.MIN_VALUE) {
            actions.add(new ReconcileAction.CallStore(new StoreCall.ReleaseLease(key, owner)));
            lost();
        }
        isCandidate = value;
    }

    boolean isHeld(long nowMillis) {
        return isCandidate && nowMillis < validUntilMillis;
    }

    long fence() {
        return fence;
    }

    void lost() {
        validUntilMillis = Long.MIN_VALUE;
    }

    void tick(long nowMillis, List<ReconcileAction> actions) {
        boolean isLost = isPending && nowMillis - sentMillis >= LOST_REPLY_MILLIS;
        if (!isCandidate || (isPending && !isLost) || nowMillis < nextMillis) {
            return;
        }
        isPending = true;
        sentMillis = nowMillis;
        actions.add(new ReconcileAction.CallStore(new StoreCall.AcquireLease(key, owner, TTL_MILLIS)));
    }

    void reply(StoreReply reply, long nowMillis) {
        if (!isPending) {
            return;
        }
        isPending = false;
        if (reply instanceof StoreReply.Leased leased) {
            fence = leased.fence();
            validUntilMillis = sentMillis + leased.ttlMillis() - MARGIN_MILLIS;
            nextMillis = nowMillis + RENEW_MILLIS;
            return;
        }
        if (reply instanceof StoreReply.Conflict) {
            lost();
        }
        nextMillis = nowMillis + RETRY_MILLIS / 2 + random.nextLong(RETRY_MILLIS);
    }
}
