package io.hornbeamscale.core.drain;

/** A sign that a process is about to leave. */
public enum DrainReason {
    /** The process received a request to stop. */
    STOP_REQUESTED,
    /** The platform reclaims the VM at short notice. */
    RECLAIM_NOTICE,
    /** The VM list marks the VM as leaving. */
    LISTED_AS_LEAVING,
    /** An operator drains the node. */
    OPERATOR
}
