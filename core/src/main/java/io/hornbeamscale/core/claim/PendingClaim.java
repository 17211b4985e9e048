package io.hornbeamscale.core.claim;

/** The state of a call that waits until its claim on an idempotency key is decided. */
final class PendingClaim {
    enum Phase {
        /** The claim operation is being written to the store. */
        WRITING,
        /**
         * Another attempt, the holder, holds the claim. After a delay, the holder's agent is asked or, if it has been
         * asked before, the operation is written again.
         */
        WAITING,
        /** The holder's agent has been asked to revoke the holder or report its state, and has not answered yet. */
        ASKING
    }

    final ClaimRequest request;
    final long storeDeadlineMillis;
    Phase phase = Phase.WRITING;
    long opId;
    /** Whether another entry writes the current operation. */
    boolean isForwarded;
    /** Whether another entry was asked to write the current or an earlier operation. */
    boolean hasBeenForwarded;
    /** When the current phase began. */
    long phaseMillis;
    /** The owner whose claim the operation may replace, as its attempt is known never to have started; or null. */
    ClaimOwner supersedes;
    /** The claim of the holder, null as long as no other holder is known. */
    ClaimRecord holderClaim;
    /** Whether the agent of the current holder has been asked. */
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
     * Returns the time at which the call is refused at the latest: the deadline for the store's reply or, once another
     * holder of the claim is known, the caller's deadline, which is not earlier.
     */
    long deadlineMillis() {
        return holderClaim == null ? storeDeadlineMillis : request.deadlineMillis();
    }
}
