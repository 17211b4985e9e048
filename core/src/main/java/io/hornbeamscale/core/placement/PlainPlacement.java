package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.eligibility.IneligibleReason;
import io.hornbeamscale.core.eligibility.SendTerms;
import io.hornbeamscale.core.eligibility.ServerEligibility;
import io.hornbeamscale.core.eligibility.Verdict;
import io.hornbeamscale.core.fleet.FleetServer;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses a backend server for a plain request: the one with the shortest expected response time. Plain requests are
 * short calls of similar length on servers with few slots; some servers are slowed by noisy neighbors or fail part of
 * their requests.
 */
public final class PlainPlacement {
    /** The assumed response time of a server that has not responded yet, in milliseconds. */
    private static final double DEFAULT_RESPONSE_MILLIS = 40;

    /** The cost of another zone, in milliseconds, for the round trip and paid traffic. */
    private static final double OTHER_ZONE_COST_MILLIS = 6;

    /** The cost of another region, in milliseconds, for the round trip and paid traffic. */
    private static final double OTHER_REGION_COST_MILLIS = 75;

    /** The cost of a server that fails every request, in milliseconds. */
    private static final double FAILURE_COST_MILLIS = 600;

    /** The cost of an ejected server, in milliseconds; greater than any other cost. */
    private static final double EJECTED_COST_MILLIS = 100_000;

    /** The maximum random cost, in milliseconds, which keeps several entries from choosing the same server. */
    private static final double MAX_JITTER_MILLIS = 5;

    private final LoadTracker loads;
    private final HealthTracker health;
    private final ServerEligibility eligibility;
    private final String zone;
    private final Map<String, String> regions;

    /**
     * Creates a placement.
     *
     * @param loads the load of the servers, not null
     * @param health the health of the servers, not null
     * @param eligibility decides which servers may get a request, not null
     * @param zone the zone of this entry, not null
     * @param regions the region names by zone name, not null
     */
    public PlainPlacement(
            LoadTracker loads,
            HealthTracker health,
            ServerEligibility eligibility,
            String zone,
            Map<String, String> regions) {
        this.loads = loads;
        this.health = health;
        this.eligibility = eligibility;
        this.zone = zone;
        this.regions = Map.copyOf(regions);
    }

    /**
     * Chooses a server. Ejected servers are chosen only if there is no other. The request may have to wait until the
     * server may get it.
     *
     * @param servers the servers that take requests, not null
     * @param terms the terms of the request, not null
     * @param nowMillis the present time
     * @param random the source of random costs, not null
     * @return the server and the wait, empty if no server may get the request now or at a known time
     */
    public Optional<Choice> choose(
            Collection<FleetServer> servers, SendTerms terms, long nowMillis, RandomGenerator random) {
        Choice best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (FleetServer server : servers) {
            Verdict verdict = eligibility.check(server, terms, nowMillis);
            boolean isEjected = verdict.reason().equals(Optional.of(IneligibleReason.EJECTED));
            if (!verdict.isAllowed() && !verdict.isDeferred() && !isEjected) {
                continue;
            }
            long wait = verdict.isDeferred() ? verdict.waitMillis(nowMillis) : 0;
            double cost = estimateMillis(server, nowMillis) + wait + random.nextDouble() * MAX_JITTER_MILLIS;
            if (isEjected) {
                cost += EJECTED_COST_MILLIS;
            }
            if (cost < bestCost) {
                best = new Choice(server, wait);
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the expected response time of a server, with penalties for its failures and its distance.
     *
     * @param server the server, not null
     * @param nowMillis the present time
     * @return the estimate, in milliseconds
     */
    public double estimateMillis(FleetServer server, long nowMillis) {
        int slots = server.registration().slots();
        int requests = loads.of(server.id(), nowMillis).requests();
        double work = health.responseMillis(server.id(), DEFAULT_RESPONSE_MILLIS);
        double cost = work * (1 + Math.max(0.0, requests + 1 - slots) / slots) + work * requests / (4.0 * slots);
        cost += health.failureRate(server.id()) * FAILURE_COST_MILLIS;
        return switch (ZoneDistance.between(zone, server.registration().zone(), regions)) {
            case SAME_ZONE -> cost;
            case SAME_REGION -> cost + OTHER_ZONE_COST_MILLIS;
            case OTHER_REGION -> cost + OTHER_REGION_COST_MILLIS;
        };
    }

    /**
     * The chosen server.
     *
     * @param server the server
     * @param waitMillis how long the request must wait before it is sent, in milliseconds, 0 to send it now
     */
    public record Choice(FleetServer server, long waitMillis) {}
}
