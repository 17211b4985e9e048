package io.hornbeamscale.core.error;

import java.util.Set;

/**
 * Decides from a backend server's response whether the server ran the request. A status alone never tells: a server
 * may fail a request with any status after it has begun to run it.
 */
public final class BackendResponses {
    private static final int STATUS_CLIENT_ERROR = 400;

    /** The statuses that callers take as the promise that a request has not run and never will. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private BackendResponses() {}

    /**
     * Returns whether the server ran the request.
     *
     * @param status the HTTP status of the response
     * @param statesNotRun whether the response states explicitly that the request was not run
     * @return {@link RunOutcome#NOT_RUN} only for an error with that statement, {@link RunOutcome#UNKNOWN} if statement
     *     and status contradict each other or the status alone suggests a refusal, otherwise {@link RunOutcome#RAN}
     */
    public static RunOutcome outcome(int status, boolean statesNotRun) {
        if (statesNotRun) {
            return status >= STATUS_CLIENT_ERROR ? RunOutcome.NOT_RUN : RunOutcome.UNKNOWN;
        }
        return isNotRunStatus(status) ? RunOutcome.UNKNOWN : RunOutcome.RAN;
    }

    /**
     * Returns whether callers take a status as the promise that the request has not run.
     *
     * @param status the HTTP status
     * @return whether the status must not be sent for a request that may have run
     */
    public static boolean isNotRunStatus(int status) {
        return NOT_RUN_STATUSES.contains(status);
    }
}
