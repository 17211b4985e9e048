package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;

/**
 * Withdraws a reservation, or cancels a running attempt.
 *
 * @param request the request, not blank
 * @param attempt the number of the attempt, from 1
 */
public record CancelReservationMessage(
        @JsonProperty("r") String request,
        @JsonProperty("a") int attempt) implements AttemptMessage {
    /** Checks required fields. */
    public CancelReservationMessage {
        Arguments.notBlank(request, "request");
        Arguments.positive(attempt, "attempt");
    }
}
