package io.hornbeamscale.core.claim;

/** The state of one keyed call that waits for its claim. */
final class PendingClaim {
    enum Phase {
        /** The change is on its way to the store. */
        WRITING,
        /** Another attempt holds the claim; it is left alone for a moment. */
        WAITING,
        /** The agent of the holder is being asked. */
        ASKING
    }

    final ClaimRequest call;
    final long storeDeadlineMillis;
    Phase phase = Phase.WRITING;
    long opId;
    boolean isForwarded;
    boolean isEverForwarded;
    long phaseMillis;
    ClaimOwner supersedes;
    ClaimRecord held;
    boolean isAsked;

    PendingClaim(ClaimRequest call, long storeDeadlineMillis) {
        this.call = call;
        this.storeDeadlineMillis = storeDeadlineMillis;
        this.supersedes = call.supersedes();
    }

    void enter(Phase next, long nowMillis) {
        phase = next;
        phaseMillis = nowMillis;
    }

    /** The store is given a short time, a holder of the claim the whole time of the caller. */
    long deadlineMillis() {
        return held == null ? storeDeadlineMillis : call.deadlineMillis();
    }
}
