package io.hornbeamscale.core.drain;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.util.Arguments;

/**
 * A response in progress, with the properties that the drain controller uses.
 *
 * @param attempt the attempt, not null
 * @param isDelivered whether the caller may have received part of the response
 * @param isRepeatable whether the request may be executed more than once
 * @param remainingMillis the predicted remaining run time, in milliseconds
 * @param offset the number of tokens so far, 0 for plain calls
 */
public record RunningWork(
        AttemptId attempt, boolean isDelivered, boolean isRepeatable, long remainingMillis, long offset) {
    /** Checks the parts. */
    public RunningWork {
        Arguments.notNull(attempt, "attempt");
    }
}
