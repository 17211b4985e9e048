package io.hornbeamscale.daemon;

import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.work.Payload;
import io.hornbeamscale.gateway.MalformedResponseException;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/** Receives the events of calls on the backend server. Methods are called on I/O threads. */
interface EngineCallListener {
    /** No connection could be established, so the call did not reach the backend server. */
    void backendNotReached(GenerationId generation);

    /** The engine accepted the generation and assigned its own id to the stream. */
    void accepted(GenerationId generation, String engineId);

    /** The engine emitted tokens. */
    void tokens(GenerationId generation, long offset, List<String> texts);

    /** The engine ended the generation. */
    void ended(GenerationId generation, long totalTokens, String finishReason);

    /** The plain service sent a complete response. */
    void answered(GenerationId generation, int status, Map<String, String> headers, Payload body);

    /** The engine responded with an HTTP status other than 200. */
    void refused(GenerationId generation, int status, Map<String, String> headers);

    /** The call failed before its end. */
    void failed(GenerationId generation, Failure failure, String reason);

    /** What ended a call without a complete response. */
    enum Failure {
        /** The connection was lost, or the response ended early: the backend server may have crashed. */
        BROKEN_OFF,
        /** The response is malformed or too large: the backend server still sends, so it has not crashed. */
        MALFORMED;

        static Failure of(IOException e) {
            return e instanceof MalformedResponseException ? MALFORMED : BROKEN_OFF;
        }
    }
}
