package io.hornbeamscale.core.fleet;

import io.hornbeamscale.core.util.Arguments;

/**
 * The data that a backend server publishes about itself.
 *
 * @param id the id; it may be kept over restarts
 * @param startedAtMillis the start time of the server in milliseconds since the epoch, 0 if unknown
 * @param sequence the number of the registration, which increases within one incarnation of the server
 * @param service the name of the service
 * @param address the address for requests
 * @param zone the availability zone
 * @param slots the maximum number of concurrent requests, at least 1
 * @param isDraining whether the server is about to stop
 * @param slowStartMillis the remaining time of slow operation after the start, in milliseconds
 */
public record ServerRegistration(
        String id,
        long startedAtMillis,
        long sequence,
        String service,
        Endpoint address,
        String zone,
        int slots,
        boolean isDraining,
        long slowStartMillis) {
    /** Checks the parts. */
    public ServerRegistration {
        Arguments.notBlank(id, "id");
        Arguments.notBlank(service, "service");
        Arguments.notNull(address, "address");
        Arguments.notNull(zone, "zone");
        Arguments.positive(slots, "slots");
    }

    /**
     * Returns whether another registration is of the same incarnation of the same server.
     *
     * @param other the other registration, may be null
     * @return whether id, start time and address are equal
     */
    public boolean isSameIncarnation(ServerRegistration other) {
        return other != null
                && id.equals(other.id)
                && startedAtMillis == other.startedAtMillis
                && address.equals(other.address);
    }
}
