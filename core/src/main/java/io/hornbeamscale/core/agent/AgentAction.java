package io.hornbeamscale.core.agent;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.work.BackendCall;
import io.hornbeamscale.core.work.Payload;
import io.hornbeamscale.core.work.WorkItem;
import java.util.List;
import java.util.Map;

/** An action that an agent controller requests of its daemon. */
public sealed interface AgentAction {
    /**
     * Sends a grant.
     *
     * @param entry the entry
     * @param attempt the attempt
     * @param grant the grant
     * @param validMillis how long the grant is valid, in milliseconds
     */
    record SendGrant(NodeId entry, AttemptId attempt, GrantId grant, long validMillis) implements AgentAction {}

    /**
     * Refuses a reservation or a start.
     *
     * @param entry the entry
     * @param attempt the attempt
     * @param kind the reason
     * @param retryAfterMillis the recommended delay before a retry in milliseconds, 0 for none
     */
    record SendRefuse(NodeId entry, AttemptId attempt, ErrorKind kind, long retryAfterMillis) implements AgentAction {}

    /**
     * Confirms a start.
     *
     * @param entry the entry
     * @param attempt the attempt
     * @param generation the generation
     */
    record SendStarted(NodeId entry, AttemptId attempt, GenerationId generation) implements AgentAction {}

    /**
     * Sends tokens.
     *
     * @param entry the entry
     * @param attempt the attempt
     * @param generation the generation
     * @param offset the offset of the first token
     * @param texts the texts of the tokens
     */
    record SendTokens(NodeId entry, AttemptId attempt, GenerationId generation, long offset, List<String> texts)
            implements AgentAction {}

    /**
     * Ends a complete generation.
     *
     * @param entry the entry
     * @param attempt the attempt
     * @param generation the generation
     * @param totalTokens the number of tokens
     * @param finishReason the finish reason
     */
    record SendEnd(NodeId entry, AttemptId attempt, GenerationId generation, long totalTokens, String finishReason)
            implements AgentAction {}

    /**
     * Answers a plain call.
     *
     * @param entry the entry
     * @param attempt the attempt
     * @param generation the generation
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body
     */
    record SendAnswer(
            NodeId entry,
            AttemptId attempt,
            GenerationId generation,
            int status,
            Map<String, String> headers,
            Payload body)
            implements AgentAction {}

    /**
     * Ends an attempt without a complete response.
     *
     * @param entry the entry
     * @param attempt the attempt
     * @param generation the text of the generation id, empty if none started
     * @param kind the error
     * @param outcome what is known about the execution
     * @param offset the number of tokens emitted
     */
    record SendFailed(
            NodeId entry, AttemptId attempt, String generation, ErrorKind kind, RunOutcome outcome, long offset)
            implements AgentAction {}

    /**
     * Answers a revocation.
     *
     * @param entry the entry
     * @param attempt the attempt
     * @param grant the grant of the attempt
     * @param isNeverStarted whether the attempt has not started and never will
     * @param state the state of the attempt
     * @param status the HTTP status of the answer if it is still held, 0 otherwise
     * @param contentType the content type of the answer, empty if there is none
     * @param body the body of the answer
     */
    record SendRevoked(
            NodeId entry,
            AttemptId attempt,
            GrantId grant,
            boolean isNeverStarted,
            String state,
            int status,
            String contentType,
            Payload body)
            implements AgentAction {}

    /**
     * Starts a call on the backend server.
     *
     * @param generation the generation
     * @param work the work
     * @param call the call
     */
    record StartCall(GenerationId generation, WorkItem work, BackendCall call) implements AgentAction {}

    /**
     * Cancels a call on the backend server.
     *
     * @param generation the generation
     */
    record CancelCall(GenerationId generation) implements AgentAction {}

    /**
     * Asks the engine to send the output of a generation again from an offset on.
     *
     * @param generation the generation
     * @param offset the first offset to send
     */
    record ReattachCall(GenerationId generation, long offset) implements AgentAction {}
}
