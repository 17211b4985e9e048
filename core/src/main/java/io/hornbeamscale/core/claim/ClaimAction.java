package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.store.StoreCall;

/** What a claim controller asks its entry to do. */
public sealed interface ClaimAction {
    /**
     * Calls the store and passes the reply to {@link ClaimController#storeReplied}.
     *
     * @param call the call
     */
    record CallStore(StoreCall call) implements ClaimAction {}

    /**
     * Hands the call over; its claim is in the store.
     *
     * @param owner the attempt and its grant
     */
    record Proceed(ClaimOwner owner) implements ClaimAction {}

    /**
     * Repeats the first result; the attempt must not be handed over.
     *
     * @param owner the attempt that asked
     * @param result the result
     */
    record Replay(ClaimOwner owner, ClaimResult result) implements ClaimAction {}

    /**
     * Refuses the call; the attempt must not be handed over.
     *
     * @param owner the attempt that asked
     * @param kind the error
     * @param outcome what is known about the execution
     */
    record Refuse(ClaimOwner owner, ErrorKind kind, RunOutcome outcome) implements ClaimAction {}

    /**
     * Asks an agent to revoke an attempt and passes the answer to {@link ClaimController#revokeAnswered}.
     *
     * @param holder the attempt that holds the claim
     */
    record AskRevoke(ClaimOwner holder) implements ClaimAction {}

    /**
     * Sends a change to the writer of its partition.
     *
     * @param writer the writer
     * @param forward the change
     */
    record SendForward(NodeId writer, ForwardedClaimOp forward) implements ClaimAction {}

    /**
     * Answers a forwarded change.
     *
     * @param entry the entry that asked
     * @param answer the answer
     */
    record SendAnswer(NodeId entry, ClaimOpReply answer) implements ClaimAction {}
}
