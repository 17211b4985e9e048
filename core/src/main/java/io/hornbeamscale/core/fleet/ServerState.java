package io.hornbeamscale.core.fleet;

/** Whether a backend server takes requests. */
public enum ServerState {
    /** The server takes requests. */
    READY,
    /** The server takes no more requests and ends soon; it may still run some. */
    LEAVING
}
