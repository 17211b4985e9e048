package io.hornbeamscale.core.error;

import io.hornbeamscale.core.util.Arguments;

/**
 * The properties of the response to a request that failed with an error of some kind.
 *
 * @param httpStatus the HTTP status code
 * @param outcome whether the request was executed, unless the error itself states it more precisely, not null
 * @param isRetryable whether a later retry of the same request may succeed
 */
public record ErrorResponse(int httpStatus, RunOutcome outcome, boolean isRetryable) {
    /** Checks the components. */
    public ErrorResponse {
        Arguments.inRange(httpStatus, 400, 599, "httpStatus");
        Arguments.notNull(outcome, "outcome");
    }
}
