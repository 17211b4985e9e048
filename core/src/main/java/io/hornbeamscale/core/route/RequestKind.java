package io.hornbeamscale.core.route;

/** What may be repeated of a request. */
public enum RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** May run once at most. */
    NON_IDEMPOTENT,
    /** A stream of events. May run once at most; its events come from one run. */
    STREAMING;

    /**
     * Returns whether a request may be sent again although it may have run.
     *
     * @return whether the request is idempotent
     */
    public boolean isRepeatable() {
        return this == IDEMPOTENT;
    }
}
