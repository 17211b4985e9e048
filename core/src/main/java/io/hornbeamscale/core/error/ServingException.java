package io.hornbeamscale.core.error;

import io.hornbeamscale.core.util.Arguments;

/** The unchecked exception of the project; it carries an error kind and what is known about the execution. */
public final class ServingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final RunOutcome outcome;

    /**
     * Creates an exception with the outcome that the table gives for the kind.
     *
     * @param kind the kind, not null
     * @param message a message for people, not null
     */
    public ServingException(ErrorKind kind, String message) {
        this(kind, ErrorResponses.of(Arguments.notNull(kind, "kind")).outcome(), message, null);
    }

    /**
     * Creates an exception.
     *
     * @param kind the kind, not null
     * @param outcome what is known about the execution, not null
     * @param message a message for people, not null
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
     * Returns what is known about the execution.
     *
     * @return the outcome, never null
     */
    public RunOutcome outcome() {
        return outcome;
    }
}
