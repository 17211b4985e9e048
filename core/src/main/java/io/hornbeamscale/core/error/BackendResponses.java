package io.hornbeamscale.core.error;

import java.util.Set;

/**
 * Decides from a backend server's response whether the server ran the request. A status alone never tells: a server
 * may fail a request with any status after it has begun to run it.
 */
public final class BackendResponses {
    private static final int STATUS_OK = 200;
    private static final int STATUS_REDIRECT = 300;
    private static final int STATUS_CLIENT_ERROR = 400;
    private static final int STATUS_LIMIT = 600;

    /** The statuses that callers take as the promise that a request has not run and never will. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private BackendResponses() {}

    /**
     * Returns whether a status may end a request. Any other one, such as 000, comes from a faulty server: the response
     * says nothing about the request, and no caller must get it.
     *
     * @param status the HTTP status
     * @return whether it is a status of a final response, from 200 to 599
     */
    public static boolean isFinalStatus(int status) {
        return status >= STATUS_OK && status < STATUS_LIMIT;
    }

    /**
     * Returns whether a status says that the request succeeded.
     *
     * @param status the HTTP status
     * @return whether it is from 200 to 299
     */
    public static boolean isSuccess(int status) {
        return status >= STATUS_OK && status < STATUS_REDIRECT;
    }

    /**
     * Returns whether the server ran the request.
     *
     * @param status the HTTP status of the response
     * @param statesNotRun whether the response states explicitly that the request was not run
     * @return {@link RunOutcome#NOT_RUN} only for an error with that statement, {@link RunOutcome#UNKNOWN} if statement
     *     and status contradict each other, the status alone suggests a refusal or is not final, otherwise {@link
     *     RunOutcome#RAN}
     */
    public static RunOutcome outcome(int status, boolean statesNotRun) {
        if (!isFinalStatus(status)) {
            return RunOutcome.UNKNOWN;
        }
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
