package io.hornbeamscale.core.faults;

/** The kinds of calls that simulated callers make. */
public enum CallKind {
    /** A streamed response that cannot start over once it has begun. */
    STREAM,
    /** A streamed response that may start over from the beginning. */
    STREAM_OR_RESTART,
    /** A model response that is delivered as a whole. */
    WHOLE,
    /** A plain call with an idempotency key. */
    KEYED,
    /** A plain call without an idempotency key that must not be repeated. */
    UNKEYED,
    /** A plain call that may be repeated. */
    READ;

    boolean isPlain() {
        return this == KEYED || this == UNKEYED || this == READ;
    }

    boolean isRepeatable() {
        return this != KEYED && this != UNKEYED;
    }
}
