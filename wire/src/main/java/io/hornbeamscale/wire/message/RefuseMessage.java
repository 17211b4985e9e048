package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;

/**
 * Refuses a reservation or a start.
 *
 * @param request the request, not blank
 * @param attempt the number of the attempt, from 1
 * @param code the code of the error, not blank
 * @param retryAfterMillis the advised pause in milliseconds, 0 for none
 */
public record RefuseMessage(
        @JsonProperty("r") String request,
        @JsonProperty("a") int attempt,
        @JsonProperty("e") String code,
        @JsonProperty("ra") long retryAfterMillis)
        implements AttemptMessage {
    /** Checks required fields. */
    public RefuseMessage {
        Arguments.notBlank(request, "request");
        Arguments.positive(attempt, "attempt");
        Arguments.notBlank(code, "code");
    }
}
