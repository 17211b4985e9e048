package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.work.Payload;

/**
 * Answers a revocation.
 *
 * @param request the request, not blank
 * @param attempt the number of the attempt, from 1
 * @param incarnation the incarnation in the grant
 * @param sequence the sequence number of the grant
 * @param neverStarted whether the attempt has not started and never will
 * @param state the state of the attempt; null means empty
 * @param status the HTTP status of the answer if the agent still holds it, 0 otherwise
 * @param contentType the content type of the answer; null means empty
 * @param body the body of the answer; null means empty
 */
public record RevokedMessage(
        @JsonProperty("r") String request,
        @JsonProperty("a") int attempt,
        @JsonProperty("in") long incarnation,
        @JsonProperty("sq") long sequence,
        @JsonProperty("ns") boolean neverStarted,
        @JsonProperty("st") String state,
        @JsonProperty("sc") int status,
        @JsonProperty("ct") String contentType,
        @JsonProperty("bo") Payload body)
        implements AttemptMessage {
    /** Checks required fields and replaces missing optional ones. */
    public RevokedMessage {
        Arguments.notBlank(request, "request");
        Arguments.positive(attempt, "attempt");
        state = state == null ? "" : state;
        contentType = contentType == null ? "" : contentType;
        body = body == null ? Payload.EMPTY : body;
    }
}
