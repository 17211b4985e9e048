package io.hornbeamscale.core.hedge;

import io.hornbeamscale.core.util.Arguments;

/**
 * A server that may get a request now, without waiting.
 *
 * @param server the id of the server
 * @param estimateMillis its expected response time, in milliseconds
 * @param requests the number of requests that all entries have placed on it
 * @param slots the number of requests that it runs at the same time, greater than 0
 */
public record HedgeCandidate(String server, double estimateMillis, int requests, int slots) {
    /** Checks the parts. */
    public HedgeCandidate {
        Arguments.notBlank(server, "server");
        Arguments.positive(slots, "slots");
    }
}
