package io.hornbeamscale.core.faults;

/** The kinds of calls. */
public enum CallKind {
    STREAM,
    STREAM_OR_RESTART,
    WHOLE,
    KEYED,
    UNKEYED,
    READ;

    boolean isPlain() {
        return this == KEYED || this == UNKEYED || this == READ;
    }

    boolean isRepeatable() {
        return this != KEYED && this != UNKEYED;
    }
}
