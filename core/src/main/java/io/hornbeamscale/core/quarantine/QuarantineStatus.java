package io.hornbeamscale.core.quarantine;

/** The quarantine status of a request. */
public enum QuarantineStatus {
    /** The request is not suspected. */
    CLEAR,
    /** The request was in flight when an engine crashed; it must not run together with another suspect. */
    SUSPECT,
    /** The request crashed engines and is refused. */
    QUARANTINED
}
