package io.hornbeamscale.core.fleet;

/**
 * The state of a backend server as known to an entry.
 *
 * @param registration the latest registration
 * @param state whether it takes requests
 * @param leavingSinceMillis when the entry learned that the server leaves, in milliseconds, 0 if it does not leave
 */
public record FleetServer(ServerRegistration registration, ServerState state, long leavingSinceMillis) {
    /**
     * Returns the id of the server.
     *
     * @return the id, never null
     */
    public String id() {
        return registration.id();
    }

    /**
     * Returns whether the server takes requests.
     *
     * @return whether its state is {@link ServerState#READY}
     */
    public boolean isReady() {
        return state == ServerState.READY;
    }
}
