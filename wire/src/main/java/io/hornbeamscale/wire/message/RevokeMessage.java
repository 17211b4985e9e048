package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;

/**
 * Asks an agent to promise that an attempt never starts.
 *
 * @param request the request, not blank
 * @param attempt the number of the attempt, from 1
 * @param incarnation the incarnation in the grant
 * @param sequence the sequence number of the grant
 * @param reason the reason; null means empty
 */
public record RevokeMessage(
        @JsonProperty("r") String request,
        @JsonProperty("a") int attempt,
        @JsonProperty("in") long incarnation,
        @JsonProperty("sq") long sequence,
        @JsonProperty("rs") String reason)
        implements AttemptMessage {
    /** Checks required fields and replaces missing optional ones. */
    public RevokeMessage {
        Arguments.notBlank(request, "request");
        Arguments.positive(attempt, "attempt");
        reason = reason == null ? "" : reason;
    }
}
