package io.hornbeamscale.core.entry;

import io.hornbeamscale.core.claim.ClaimOpReply;
import io.hornbeamscale.core.claim.ForwardedClaimOp;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.stream.EventId;
import io.hornbeamscale.core.work.BackendCall;
import io.hornbeamscale.core.work.Payload;
import io.hornbeamscale.core.work.WorkItem;
import java.util.List;
import java.util.Map;

/** An action that an entry controller requests of its daemon. */
public sealed interface EntryAction {
    /**
     * Sends a reservation to an agent.
     *
     * @param backend the backend server
     * @param attempt the attempt
     * @param work the work
     */
    record SendReserve(BackendId backend, AttemptId attempt, WorkItem work) implements EntryAction {}

    /**
     * Withdraws a reservation or cancels a running attempt.
     *
     * @param backend the backend server
     * @param attempt the attempt
     */
    record SendCancel(BackendId backend, AttemptId attempt) implements EntryAction {}

    /**
     * Hands a request over to the backend server that granted it.
     *
     * @param backend the backend server
     * @param attempt the attempt
     * @param grant the grant to use
     * @param call the call
     * @param deadlineMillis when the deadline passes
     * @param claimVersion the revision of the claim record, 0 if the call has no claim
     */
    record SendStart(
            BackendId backend,
            AttemptId attempt,
            GrantId grant,
            BackendCall call,
            long deadlineMillis,
            long claimVersion)
            implements EntryAction {}

    /**
     * Acknowledges tokens.
     *
     * @param backend the backend server
     * @param attempt the attempt
     * @param generation the generation
     * @param offset the number of tokens received in order
     */
    record SendAck(BackendId backend, AttemptId attempt, GenerationId generation, long offset) implements EntryAction {}

    /**
     * Asks an agent for tokens from an offset.
     *
     * @param backend the backend server
     * @param attempt the attempt that the answering frames carry
     * @param customer the customer that must own the generation
     * @param generation the generation
     * @param offset the first offset to send
     */
    record SendResume(BackendId backend, AttemptId attempt, CustomerId customer, GenerationId generation, long offset)
            implements EntryAction {}

    /**
     * Asks an agent to revoke an attempt, so that it never starts.
     *
     * @param backend the backend server
     * @param attempt the attempt
     * @param grant the grant of the attempt
     * @param reason the reason
     */
    record SendRevoke(BackendId backend, AttemptId attempt, GrantId grant, String reason) implements EntryAction {}

    /**
     * Calls the store and passes the reply to the controller.
     *
     * @param call the call
     */
    record CallStore(StoreCall call) implements EntryAction {}

    /**
     * Sends a claim operation to the entry that writes its partition.
     *
     * @param writer the entry
     * @param forward the operation
     */
    record SendClaimForward(NodeId writer, ForwardedClaimOp forward) implements EntryAction {}

    /**
     * Answers a forwarded claim operation.
     *
     * @param entry the entry that asked
     * @param answer the answer
     */
    record SendClaimAnswer(NodeId entry, ClaimOpReply answer) implements EntryAction {}

    /**
     * Delivers tokens to a streaming caller.
     *
     * @param request the request
     * @param id the id of the last token
     * @param texts the texts of the tokens
     */
    record Deliver(RequestId request, EventId id, List<String> texts) implements EntryAction {}

    /**
     * Tells a streaming caller that a new generation follows from offset 0.
     *
     * @param request the request
     * @param lost the id up to which the lost generation was delivered
     */
    record Restart(RequestId request, EventId lost) implements EntryAction {}

    /**
     * Ends a complete generation.
     *
     * @param request the request
     * @param id the id of the end
     * @param texts the texts of all tokens, empty for streaming callers
     * @param finishReason the finish reason
     */
    record Finish(RequestId request, EventId id, List<String> texts, String finishReason) implements EntryAction {}

    /**
     * Answers a plain call.
     *
     * @param request the request
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body
     */
    record Answer(RequestId request, int status, Map<String, String> headers, Payload body) implements EntryAction {}

    /**
     * Tells the caller that the request failed.
     *
     * @param request the request
     * @param kind the error
     * @param outcome what is known about the execution
     * @param retryAfterMillis the recommended delay before a retry in milliseconds, 0 for none
     * @param offset the number of tokens delivered before the failure
     */
    record Fail(RequestId request, ErrorKind kind, RunOutcome outcome, long retryAfterMillis, long offset)
            implements EntryAction {}
}
