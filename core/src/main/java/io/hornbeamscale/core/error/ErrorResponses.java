package io.hornbeamscale.core.error;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/** Maps error kinds to responses. */
public final class ErrorResponses {
    private static final Map<ErrorKind, ErrorResponse> TABLE = table();

    private ErrorResponses() {}

    /**
     * Returns the response for a kind of error.
     *
     * @param kind the kind, not null
     * @return the response, never null
     */
    public static ErrorResponse of(ErrorKind kind) {
        return TABLE.get(kind);
    }

    private static Map<ErrorKind, ErrorResponse> table() {
        Map<ErrorKind, ErrorResponse> table = new EnumMap<>(ErrorKind.class);
        put(table, ErrorKind.BAD_REQUEST, 400, RunOutcome.NOT_RUN, false);
        put(table, ErrorKind.UNAUTHORIZED, 401, RunOutcome.NOT_RUN, false);
        put(table, ErrorKind.FORBIDDEN, 403, RunOutcome.NOT_RUN, false);
        put(table, ErrorKind.NOT_FOUND, 404, RunOutcome.NOT_RUN, false);
        put(table, ErrorKind.METHOD_NOT_ALLOWED, 405, RunOutcome.NOT_RUN, false);
        put(table, ErrorKind.PAYLOAD_TOO_LARGE, 413, RunOutcome.NOT_RUN, false);
        put(table, ErrorKind.HEADERS_TOO_LARGE, 431, RunOutcome.NOT_RUN, false);
        put(table, ErrorKind.KEY_REUSED, 422, RunOutcome.NOT_RUN, false);
        put(table, ErrorKind.REQUEST_QUARANTINED, 422, RunOutcome.NOT_RUN, false);
        put(table, ErrorKind.RATE_LIMITED, 429, RunOutcome.NOT_RUN, true);
        put(table, ErrorKind.OVERLOADED, 503, RunOutcome.NOT_RUN, true);
        put(table, ErrorKind.DEADLINE_EXCEEDED, 504, RunOutcome.NOT_RUN, true);
        put(table, ErrorKind.NO_BACKEND, 503, RunOutcome.NOT_RUN, true);
        put(table, ErrorKind.DRAINING, 503, RunOutcome.NOT_RUN, true);
        put(table, ErrorKind.CLAIMS_UNAVAILABLE, 503, RunOutcome.NOT_RUN, true);
        put(table, ErrorKind.GRANT_EXPIRED, 503, RunOutcome.NOT_RUN, true);
        put(table, ErrorKind.REVOKED, 503, RunOutcome.NOT_RUN, true);
        put(table, ErrorKind.IN_PROGRESS, 409, RunOutcome.UNKNOWN, true);
        put(table, ErrorKind.OUTCOME_UNKNOWN, 502, RunOutcome.UNKNOWN, false);
        put(table, ErrorKind.BACKEND_FAILED, 502, RunOutcome.RAN, false);
        put(table, ErrorKind.GENERATION_LOST, 502, RunOutcome.RAN, false);
        put(table, ErrorKind.STREAM_EXPIRED, 410, RunOutcome.RAN, false);
        put(table, ErrorKind.CANCELLED, 499, RunOutcome.UNKNOWN, false);
        put(table, ErrorKind.STORE_UNAVAILABLE, 503, RunOutcome.NOT_RUN, true);
        put(table, ErrorKind.VERSION_CONFLICT, 409, RunOutcome.NOT_RUN, false);
        put(table, ErrorKind.INVALID_DOCUMENT, 422, RunOutcome.NOT_RUN, false);
        put(table, ErrorKind.STALE_FENCE, 409, RunOutcome.NOT_RUN, false);
        put(table, ErrorKind.BAD_FRAME, 400, RunOutcome.UNKNOWN, false);
        put(table, ErrorKind.INTERNAL, 500, RunOutcome.UNKNOWN, false);
        return Collections.unmodifiableMap(table);
    }

    private static void put(
            Map<ErrorKind, ErrorResponse> table, ErrorKind kind, int status, RunOutcome outcome, boolean isRetryable) {
        table.put(kind, new ErrorResponse(status, outcome, isRetryable));
    }
}
