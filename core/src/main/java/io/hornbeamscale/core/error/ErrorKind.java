package io.hornbeamscale.core.error;

import java.util.Locale;

/** The closed list of errors that a caller, an operator or another process can receive. */
public enum ErrorKind {
    /** The request is malformed or misses a required value. */
    BAD_REQUEST,
    /** The key is missing or unknown. */
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
    /** The idempotency key was used with another request. */
    KEY_REUSED,
    /** The request has crashed backend servers and is refused. */
    REQUEST_QUARANTINED,
    /** The customer has used up its limit. */
    RATE_LIMITED,
    /** No capacity becomes free in time. */
    OVERLOADED,
    /** The deadline passed while the request waited. */
    DEADLINE_EXCEEDED,
    /** No backend server of the service is available. */
    NO_BACKEND,
    /** The process is shutting down. */
    DRAINING,
    /** The store cannot record the claim of a call that must not be repeated. */
    CLAIMS_UNAVAILABLE,
    /** The grant is used, expired or of another incarnation. */
    GRANT_EXPIRED,
    /** The attempt was revoked before its start. */
    REVOKED,
    /** A call with the same idempotency key is running. */
    IN_PROGRESS,
    /** The call was handed over and its result was lost. */
    OUTCOME_UNKNOWN,
    /** The backend server failed while it ran the request. */
    BACKEND_FAILED,
    /** The generation ended early because its backend server was lost. */
    GENERATION_LOST,
    /** The stream to resume is no longer held. */
    STREAM_EXPIRED,
    /** The caller went away. */
    CANCELLED,
    /** The platform store does not answer. */
    STORE_UNAVAILABLE,
    /** Another writer published first. */
    VERSION_CONFLICT,
    /** The document or settings do not validate. */
    INVALID_DOCUMENT,
    /** The order carries an old fencing number. */
    STALE_FENCE,
    /** A frame between processes is malformed. */
    BAD_FRAME,
    /** The process failed. */
    INTERNAL;

    /**
     * Returns the code used in answers, logs and metrics.
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
     * @return the kind, or {@link #INTERNAL} if no kind has this code, as a newer release may send kinds unknown here
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
