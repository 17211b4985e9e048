package io.hornbeamscale.core.document;

/** The kind of a service. */
public enum ServiceKind {
    /** Requests run on model engines. */
    MODEL,
    /** Requests pass through to plain HTTP services. */
    PLAIN
}
