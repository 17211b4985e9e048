package io.hornbeamscale.core.fleet;

/** Whether a backend server takes requests. */
public enum ServerState {
    /** The server takes requests. */
    READY,
    /** The server takes no new requests and stops soon; running requests continue. */
    LEAVING
}
