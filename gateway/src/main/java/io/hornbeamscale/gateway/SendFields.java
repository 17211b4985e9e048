package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import java.util.Optional;

/**
 * What an entry adds to a request when it sends it to a backend server.
 *
 * @param serverId the id of the server that is meant; any other server refuses the request
 * @param customer the name of the customer, empty on public routes
 * @param remainingMillis how long the response is still of use, in milliseconds
 * @param priority the rank for the engine, 0 is the most urgent, empty for the engine's default
 * @param continuation the copied state to go on from, empty to start anew
 * @param backup where the engine copies the request's state while it runs, empty for nowhere
 */
public record SendFields(
        String serverId,
        Optional<String> customer,
        long remainingMillis,
        Optional<Integer> priority,
        Optional<Continuation> continuation,
        Optional<Endpoint> backup) {

    /**
     * Where the state of a stream lies that goes on at another server.
     *
     * @param owner the server whose copy is named
     * @param handle the name of the copy there
     * @param lastEventId the id of the last event received, empty if none was
     */
    public record Continuation(Endpoint owner, String handle, Optional<String> lastEventId) {}
}
