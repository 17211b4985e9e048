package io.hornbeamscale.core.stream;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.GenerationId;
import java.util.List;

/** An action that a retention buffer requests of its agent. */
public sealed interface RetentionAction {
    /**
     * Sends tokens to a reader.
     *
     * @param reader the reader
     * @param generation the generation
     * @param offset the offset of the first token
     * @param texts the texts of the tokens
     */
    record SendTokens(GenerationReader reader, GenerationId generation, long offset, List<String> texts)
            implements RetentionAction {}

    /**
     * Sends the end to a reader.
     *
     * @param reader the reader
     * @param generation the generation
     * @param totalTokens the number of tokens of the whole generation
     * @param finishReason the engine's reason for the end
     */
    record SendEnd(GenerationReader reader, GenerationId generation, long totalTokens, String finishReason)
            implements RetentionAction {}

    /**
     * Sends a failure to a reader.
     *
     * @param reader the reader
     * @param generation the generation
     * @param kind the error
     * @param outcome what is known about the execution
     * @param offset the number of retained tokens, or the requested offset if a resumption is refused
     */
    record SendFailed(GenerationReader reader, GenerationId generation, ErrorKind kind, RunOutcome outcome, long offset)
            implements RetentionAction {}

    /**
     * Asks the engine to send the output of a generation again.
     *
     * @param generation the generation
     * @param offset the first token that is missing
     */
    record ReattachGeneration(GenerationId generation, long offset) implements RetentionAction {}

    /**
     * Cancels a generation that has had no reader for too long.
     *
     * @param generation the generation
     */
    record CancelGeneration(GenerationId generation) implements RetentionAction {}
}
