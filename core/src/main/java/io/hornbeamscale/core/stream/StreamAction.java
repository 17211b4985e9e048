package io.hornbeamscale.core.stream;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.GenerationId;
import java.util.List;

/** An action that a stream assembler requests of its entry. */
public sealed interface StreamAction {
    /**
     * Sends tokens to the caller as one or more events; the last event carries the id.
     *
     * @param id the id of the last event
     * @param texts the texts of the tokens, the last one at {@code id.offset() - 1}
     */
    record Deliver(EventId id, List<String> texts) implements StreamAction {}

    /**
     * Ends the caller's stream normally.
     *
     * @param id the id of the end
     * @param finishReason the engine's reason for the end
     */
    record DeliverEnd(EventId id, String finishReason) implements StreamAction {}

    /**
     * Sends the complete response.
     *
     * @param generation the generation that all tokens come from
     * @param texts the texts of all tokens
     * @param finishReason the engine's reason for the end
     */
    record DeliverWhole(GenerationId generation, List<String> texts, String finishReason) implements StreamAction {}

    /**
     * Tells the caller to discard the tokens received so far; a new generation follows from offset 0.
     *
     * @param lost the id up to which the lost generation was delivered
     */
    record DeliverRestart(EventId lost) implements StreamAction {}

    /**
     * Ends the response with an error.
     *
     * @param kind the error
     * @param outcome what is known about the execution
     * @param offset the number of tokens that the caller has received
     */
    record DeliverError(ErrorKind kind, RunOutcome outcome, long offset) implements StreamAction {}

    /** Retries the request with a new attempt. */
    record Retry() implements StreamAction {}

    /**
     * Acknowledges the output to the agent.
     *
     * @param generation the generation
     * @param offset the number of tokens received in order
     */
    record SendAck(GenerationId generation, long offset) implements StreamAction {}

    /**
     * Asks the agent of the generation to send its output again.
     *
     * @param generation the generation
     * @param offset the first token that is missing
     */
    record SendResume(GenerationId generation, long offset) implements StreamAction {}
}
