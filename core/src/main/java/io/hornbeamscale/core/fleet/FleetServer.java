package io.hornbeamscale.core.fleet;

/**
 * The state of a backend server as known to an entry.
 *
 * @param registration the latest registration
 * @param state whether it takes requests
 * @param leavingSinceMillis when the entry learned that the server leaves, in milliseconds, 0 if it does not leave
 * @param coldUntilMillis until when the server is cold, in milliseconds, as derived from its registration
 */
public record FleetServer(
        ServerRegistration registration, ServerState state, long leavingSinceMillis, long coldUntilMillis) {
    /**
     * Creates a server whose registration arrived at time 0.
     *
     * @param registration the latest registration
     * @param state whether it takes requests
     * @param leavingSinceMillis when the entry learned that the server leaves, in milliseconds, 0 if it does not leave
     */
    public FleetServer(ServerRegistration registration, ServerState state, long leavingSinceMillis) {
        this(registration, state, leavingSinceMillis, registration.slowStartMillis());
    }

    /**
     * Returns whether the server is cold: it is slow, or bears few requests, for some time after its start.
     *
     * @param nowMillis the present time
     * @return whether the time has not passed that its registration states
     */
    public boolean isCold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

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
