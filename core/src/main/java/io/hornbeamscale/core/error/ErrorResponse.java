package io.hornbeamscale.core.error;

import io.hornbeamscale.core.util.Arguments;

/**
 * The answer that belongs to an error kind.
 *
 * @param httpStatus the HTTP status code
 * @param outcome what is known about the execution if nothing more precise is, not null
 * @param isRetryable whether the same request may succeed later
 */
public record ErrorResponse(int httpStatus, RunOutcome outcome, boolean isRetryable) {
    /** Checks the parts. */
    public ErrorResponse {
        Arguments.inRange(httpStatus, 400, 599, "httpStatus");
        Arguments.notNull(outcome, "outcome");
    }
}
