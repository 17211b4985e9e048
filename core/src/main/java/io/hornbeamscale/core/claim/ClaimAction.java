package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.store.StoreCall;

/** An action that a claim controller requests of its entry. */
public sealed interface ClaimAction {
    /**
     * Calls the store and passes the reply to {@link ClaimController#storeReplied}.
     *
     * @param call the call
     */
    record CallStore(StoreCall call) implements ClaimAction {}

    /**
     * Hands the call over to the backend server, because its claim is in the store.
     *
     * @param owner the attempt and its grant
     */
    record Proceed(ClaimOwner owner) implements ClaimAction {}

    /**
     * Answers the call with the recorded result; the attempt must not be handed over.
     *
     * @param owner the attempt that requested the claim
     * @param result the result
     */
    record Replay(ClaimOwner owner, ClaimResult result) implements ClaimAction {}

    /**
     * Refuses the call; the attempt must not be handed over.
     *
     * @param owner the attempt that requested the claim
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
     * Sends an operation to the writer of its partition.
     *
     * @param writer the writer
     * @param forward the operation
     */
    record SendForward(NodeId writer, ForwardedClaimOp forward) implements ClaimAction {}

    /**
     * Answers a forwarded operation.
     *
     * @param entry the entry that asked
     * @param answer the answer
     */
    record SendAnswer(NodeId entry, ClaimOpReply answer) implements ClaimAction {}
}
