package io.hornbeamscale.core.error;

import java.util.Locale;

/** The kinds of errors that a caller, an operator or another process can receive. */
public enum ErrorKind {
    /** The request is malformed or lacks a required value. */
    BAD_REQUEST,
    /** The API key is missing or unknown. */
    UNAUTHORIZED,
    /** The customer may not call this service. */
    FORBIDDEN,
    /** The service, model or path does not exist. */
    NOT_FOUND,
    /** The path does not accept the method. */
    METHOD_NOT_ALLOWED,
    /** The body exceeds its limit. */
    PAYLOAD_TOO_LARGE,
    /** The headers exceed their limit. */
    HEADERS_TOO_LARGE,
    /** The idempotency key was already used with another request. */
    KEY_REUSED,
    /** The request is quarantined because it has crashed backend servers. */
    REQUEST_QUARANTINED,
    /** The customer has exceeded its rate limit. */
    RATE_LIMITED,
    /** No capacity becomes available in time. */
    OVERLOADED,
    /** The deadline passed while the request was waiting. */
    DEADLINE_EXCEEDED,
    /** No backend server of the service is available. */
    NO_BACKEND,
    /** The process is shutting down. */
    DRAINING,
    /** The store cannot record the claim of a call that must not be repeated. */
    CLAIMS_UNAVAILABLE,
    /** The grant was already used, has expired, or belongs to another incarnation of the agent. */
    GRANT_EXPIRED,
    /** The attempt was revoked before it started. */
    REVOKED,
    /** Another call with the same idempotency key is running. */
    IN_PROGRESS,
    /** The call was handed over to a backend server and its result was lost. */
    OUTCOME_UNKNOWN,
    /** The backend server failed while it ran the request. */
    BACKEND_FAILED,
    /** The generation ended early because its backend server was lost. */
    GENERATION_LOST,
    /** The stream to resume is no longer retained. */
    STREAM_EXPIRED,
    /** The caller closed the connection. */
    CANCELLED,
    /** The platform's store does not reply. */
    STORE_UNAVAILABLE,
    /** Another version was published since the change was prepared. */
    VERSION_CONFLICT,
    /** The document or the settings are invalid. */
    INVALID_DOCUMENT,
    /** The command carries an outdated fencing number. */
    STALE_FENCE,
    /** A frame from another process is malformed. */
    BAD_FRAME,
    /** An internal error occurred. */
    INTERNAL;

    /**
     * Returns the code used in responses, logs and metrics.
     *
     * @return the lower-case name, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Finds a kind by its code.
     *
     * @param code the code, may be null
     * @return the kind, or {@link #INTERNAL} if no kind has this code, since a newer release may send unknown kinds
     */
    public static ErrorKind ofCode(String code) {
        for (ErrorKind kind : values()) {
            if (kind.code().equals(code)) {
                return kind;
            }
        }
        return INTERNAL;
    }
}
