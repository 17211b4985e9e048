package io.hornbeamscale.core.route;

/** Whether and how a request may be executed again. */
public enum RequestKind {
    /** The request may be executed any number of times. */
    IDEMPOTENT,
    /** The request may be executed at most once. */
    NON_IDEMPOTENT,
    /** A stream of events. The request may be executed at most once; all its events come from one execution. */
    STREAMING;

    /**
     * Returns whether a request may be sent again although it may have been executed.
     *
     * @return whether the request is idempotent
     */
    public boolean isRepeatable() {
        return this == IDEMPOTENT;
    }
}
