package io.hornbeamscale.daemon;

import io.hornbeamscale.core.error.ErrorKind;

/** The default messages of error kinds for callers, used where no specific message is available. */
final class ErrorMessages {
    private ErrorMessages() {}

    static String of(ErrorKind kind) {
        return switch (kind) {
            case RATE_LIMITED -> "the customer has used up its limit";
            case OVERLOADED -> "no capacity becomes free in time";
            case DEADLINE_EXCEEDED -> "the deadline passed while the request waited";
            case NO_BACKEND -> "no backend server of the service is available";
            case DRAINING -> "the process is shutting down";
            case CLAIMS_UNAVAILABLE -> "the claim of the call could not be recorded";
            case REQUEST_QUARANTINED -> "the request has crashed backend servers and is refused";
            case KEY_REUSED -> "the idempotency key was used with another request";
            case IN_PROGRESS -> "a call with the same idempotency key is running";
            case OUTCOME_UNKNOWN -> "the call was handed over and its result was lost";
            case BACKEND_FAILED -> "the backend server failed while it ran the request";
            case GENERATION_LOST -> "the generation ended early because its backend server was lost";
            case STREAM_EXPIRED -> "the stream is no longer held";
            case CANCELLED -> "the request was cancelled";
            case BAD_REQUEST -> "the backend server does not accept the request";
            default -> "the request failed: " + kind.code();
        };
    }
}
