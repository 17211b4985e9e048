package io.hornbeamscale.core.quarantine;

/** What is known about a request. */
public enum QuarantineStatus {
    /** Nothing speaks against the request. */
    CLEAR,
    /** The request was in flight when an engine crashed; it runs alone. */
    SUSPECT,
    /** The request has crashed engines; it is refused. */
    QUARANTINED
}
