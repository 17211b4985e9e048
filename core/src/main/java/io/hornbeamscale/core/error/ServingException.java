package io.hornbeamscale.core.error;

import io.hornbeamscale.core.util.Arguments;

/** An unchecked exception with an error kind and a statement whether the request was executed. */
public final class ServingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final RunOutcome outcome;

    /**
     * Creates an exception with the default outcome of the kind, as in {@link ErrorResponses}.
     *
     * @param kind the kind, not null
     * @param message the message, for people
     */
    public ServingException(ErrorKind kind, String message) {
        this(kind, ErrorResponses.of(Arguments.notNull(kind, "kind")).outcome(), message, null);
    }

    /**
     * Creates an exception.
     *
     * @param kind the kind, not null
     * @param outcome whether the request was executed, not null
     * @param message the message, for people
     * @param cause the cause, may be null
     */
    public ServingException(ErrorKind kind, RunOutcome outcome, String message, Throwable cause) {
        super(message, cause);
        this.kind = Arguments.notNull(kind, "kind");
        this.outcome = Arguments.notNull(outcome, "outcome");
    }

    /**
     * Returns the kind.
     *
     * @return the kind, never null
     */
    public ErrorKind kind() {
        return kind;
    }

    /**
     * Returns whether the request was executed.
     *
     * @return the outcome, never null
     */
    public RunOutcome outcome() {
        return outcome;
    }
}
