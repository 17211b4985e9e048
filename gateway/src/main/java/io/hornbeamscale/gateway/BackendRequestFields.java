package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import java.util.Optional;

/**
 * The values that an entry adds to a request for a backend server.
 *
 * @param serverId the id of the intended server; any other server refuses the request
 * @param customer the name of the customer, empty on public routes
 * @param remainingMillis the time left until the response is due, in milliseconds
 * @param priority the priority at the engine, 0 is the most urgent, empty for the default of the engine
 * @param continuation the copied state to continue from, empty for a new run
 * @param backup the server that the engine copies the state of the request to while it runs, empty for none
 */
public record BackendRequestFields(
        String serverId,
        Optional<String> customer,
        long remainingMillis,
        Optional<Integer> priority,
        Optional<Continuation> continuation,
        Optional<Endpoint> backup) {

    /**
     * The copied state of a stream that continues at another server.
     *
     * @param owner the server that named the copy
     * @param handle the name of the copy at that server
     * @param lastEventId the id of the last event that the caller has, empty if it has none
     */
    public record Continuation(Endpoint owner, String handle, Optional<String> lastEventId) {}
}
