package io.hornbeamscale.daemon;

import io.hornbeamscale.core.error.BackendResponses;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import java.util.Map;

/** Derives the error kind and the outcome of a call from a backend server's error response. */
final class EngineErrors {
    /** The response header, in lower case, by which a backend server states that it has not run the call. */
    private static final String NOT_RUN = "x-not-run";

    private EngineErrors() {}

    /** Returns whether the server ran the call. */
    static RunOutcome outcomeOf(int status, Map<String, String> headers) {
        return BackendResponses.outcome(status, headers.containsKey(NOT_RUN));
    }

    static ErrorKind kindOf(int status, RunOutcome outcome) {
        if (outcome == RunOutcome.UNKNOWN) {
            return ErrorKind.OUTCOME_UNKNOWN;
        }
        if (BackendResponses.isNotRunStatus(status)) {
            return ErrorKind.OVERLOADED;
        }
        return status >= 400 && status < 500 ? ErrorKind.BAD_REQUEST : ErrorKind.BACKEND_FAILED;
    }
}
