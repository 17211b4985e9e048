package io.hornbeamscale.core.claim;

/** The state of a call that waits for its claim. */
final class PendingClaim {
    enum Phase {
        /** The operation is being written to the store. */
        WRITING,
        /** Another attempt holds the claim; its agent is asked after a delay. */
        WAITING,
        /** The agent of the holder is being asked. */
        ASKING
    }

    final ClaimRequest request;
    final long storeDeadlineMillis;
    Phase phase = Phase.WRITING;
    long opId;
    boolean isForwarded;
    boolean hasBeenForwarded;
    long phaseMillis;
    ClaimOwner supersedes;
    ClaimRecord holderClaim;
    boolean isHolderAsked;

    PendingClaim(ClaimRequest request, long storeDeadlineMillis) {
        this.request = request;
        this.storeDeadlineMillis = storeDeadlineMillis;
        this.supersedes = request.supersedes();
    }

    void enterPhase(Phase next, long nowMillis) {
        phase = next;
        phaseMillis = nowMillis;
    }

    /**
     * Returns the deadline: a short one for the store, but that of the caller once another holder of the claim is
     * known.
     */
    long deadlineMillis() {
        return holderClaim == null ? storeDeadlineMillis : request.deadlineMillis();
    }
}
