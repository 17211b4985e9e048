package io.hornbeamscale.core.eligibility;

import io.hornbeamscale.core.route.AllowedRegions;
import io.hornbeamscale.core.util.Arguments;
import java.util.Optional;
import java.util.Set;

/**
 * What a request demands of the server that it is sent to.
 *
 * @param regions the regions in which it may be served
 * @param excluded the ids of servers that must not get it
 * @param isCounted whether the server counts it as a request; a backup copy or a report is none, so that request rates
 *     do not bind it
 * @param reservation the id of the server at which it holds a place within the request rates, empty for none
 */
public record SendTerms(AllowedRegions regions, Set<String> excluded, boolean isCounted, Optional<String> reservation) {
    /** Any server is acceptable. */
    public static final SendTerms ANY = of(AllowedRegions.ANY);

    /** Checks the parts. */
    public SendTerms {
        Arguments.notNull(regions, "regions");
        excluded = Set.copyOf(excluded);
        Arguments.notNull(reservation, "reservation");
    }

    /**
     * Returns the terms of a first send.
     *
     * @param regions the regions in which the request may be served, not null
     * @return the terms, never null
     */
    public static SendTerms of(AllowedRegions regions) {
        return new SendTerms(regions, Set.of(), true, Optional.empty());
    }

    /**
     * Returns these terms with other excluded servers.
     *
     * @param servers the ids of the servers, not null
     * @return the terms, never null
     */
    public SendTerms excluding(Set<String> servers) {
        return new SendTerms(regions, servers, isCounted, reservation);
    }

    /**
     * Returns these terms for a call that the server does not count as a request.
     *
     * @return the terms, never null
     */
    public SendTerms uncounted() {
        return new SendTerms(regions, excluded, false, reservation);
    }

    /**
     * Returns whether the request holds a place within the request rates of a server.
     *
     * @param server the id of the server, not null
     * @return whether the reservation is at this server
     */
    public boolean isReservedAt(String server) {
        return reservation.isPresent() && reservation.get().equals(server);
    }

    /**
     * Returns these terms for a send whose place within the request rates of a server was taken before.
     *
     * @param server the id of the server, not null
     * @return the terms, never null
     */
    public SendTerms reservedAt(String server) {
        return new SendTerms(regions, excluded, isCounted, Optional.of(server));
    }
}
