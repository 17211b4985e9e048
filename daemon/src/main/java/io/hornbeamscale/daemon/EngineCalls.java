package io.hornbeamscale.daemon;

import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.work.Payload;
import java.util.List;
import java.util.Map;

/** Receives what happens to calls on the backend server. Methods run on I/O threads. */
interface EngineCalls {
    /** The call certainly did not reach the backend server. */
    void notReached(GenerationId generation);

    /** The engine holds the generation under an id of its own. */
    void accepted(GenerationId generation, String engineId);

    /** The engine emitted tokens. */
    void tokens(GenerationId generation, long offset, List<String> texts);

    /** The engine ended the generation. */
    void ended(GenerationId generation, long totalTokens, String finishReason);

    /** The plain service answered. */
    void answered(GenerationId generation, int status, Map<String, String> headers, Payload body);

    /** The engine refused the call with an HTTP status. */
    void refused(GenerationId generation, int status);

    /** The connection broke before the end. */
    void broken(GenerationId generation, String reason);
}
