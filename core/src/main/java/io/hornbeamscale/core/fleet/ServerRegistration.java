package io.hornbeamscale.core.fleet;

import io.hornbeamscale.core.util.Arguments;

/**
 * What a backend server says of itself in its registration.
 *
 * @param id the id; a server that starts again may keep it
 * @param startedAtMillis the start of the server since the epoch, in milliseconds, 0 if unknown
 * @param sequence the number of the registration; it rises within one life of the server
 * @param service the service it belongs to
 * @param address where it accepts requests
 * @param zone its availability zone
 * @param slots how many requests it runs at once
 * @param isDraining whether it is about to stop
 * @param slowStartMillis how much longer it stays slow after its start, in milliseconds
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
     * Returns whether this record was made before another one of the same server.
     *
     * @param other the other record, not null
     * @return whether it is of an earlier life, or earlier in the same life
     */
    public boolean isOlderThan(ServerRegistration other) {
        return startedAtMillis != other.startedAtMillis
                ? startedAtMillis < other.startedAtMillis
                : sequence < other.sequence;
    }

    /**
     * Returns whether another record is of the same life of the same server.
     *
     * @param other the other record, may be null
     * @return whether id, start and address are equal
     */
    public boolean isSameIncarnation(ServerRegistration other) {
        return other != null
                && id.equals(other.id)
                && startedAtMillis == other.startedAtMillis
                && address.equals(other.address);
    }
}
