package io.hornbeamscale.core.drain;

/** The reason why a process drains. */
public enum DrainReason {
    /** The process received a request to stop. */
    STOP_REQUESTED,
    /** The platform announced that it reclaims the VM shortly. */
    RECLAIM_NOTICE,
    /** The VM list marks the VM as leaving. */
    LISTED_AS_LEAVING,
    /** An operator drains the node. */
    OPERATOR
}
