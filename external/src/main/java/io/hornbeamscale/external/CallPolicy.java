package io.hornbeamscale.external;

import io.hornbeamscale.core.util.Arguments;
import java.util.random.RandomGenerator;

/**
 * The timeouts and retry pauses of calls to an external system.
 *
 * @param attemptTimeoutMillis the timeout of one attempt, in milliseconds, positive
 * @param callTimeoutMillis the timeout of a call with all of its attempts, in milliseconds, positive
 * @param firstRetryPauseMillis the upper bound of the first pause, in milliseconds, positive
 * @param maxRetryPauseMillis the upper bound of every pause, in milliseconds, positive
 */
public record CallPolicy(
        long attemptTimeoutMillis, long callTimeoutMillis, long firstRetryPauseMillis, long maxRetryPauseMillis) {
    /** The policy for a system that usually responds within milliseconds. */
    public static final CallPolicy DEFAULT = new CallPolicy(1_000, 2_000, 25, 500);

    private static final int MAX_DOUBLINGS = 20;

    /** Checks the components. */
    public CallPolicy {
        Arguments.positive(attemptTimeoutMillis, "attemptTimeoutMillis");
        Arguments.positive(callTimeoutMillis, "callTimeoutMillis");
        Arguments.positive(firstRetryPauseMillis, "firstRetryPauseMillis");
        Arguments.positive(maxRetryPauseMillis, "maxRetryPauseMillis");
    }

    /**
     * Returns the pause before a retry. It is uniformly distributed between half and all of a bound that doubles with
     * every failure, so that nodes which failed together do not retry together.
     *
     * @param failures the number of failed attempts, from 1
     * @param random the source of randomness for the jitter, not null
     * @return the pause, in milliseconds
     */
    public long retryPauseMillis(int failures, RandomGenerator random) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
        long bound = Math.min(maxRetryPauseMillis, firstRetryPauseMillis << doublings);
        return bound / 2 + random.nextLong(bound / 2 + 1);
    }
}
