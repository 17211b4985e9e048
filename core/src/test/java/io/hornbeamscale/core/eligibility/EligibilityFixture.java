package io.hornbeamscale.core.eligibility;

import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.fleet.ServerRegistration;
import io.hornbeamscale.core.fleet.ServerState;
import io.hornbeamscale.core.limit.ServerRateLimits;
import io.hornbeamscale.core.placement.HealthTracker;
import java.util.Map;

/** The decision of one entry, with what it depends on. */
final class EligibilityFixture {
    static final Map<String, String> REGIONS = Map.of("z1", "r1", "z2", "r1", "z3", "r2");

    final HealthTracker health = new HealthTracker();
    final ServerRateLimits limits;
    final ServerEligibility eligibility;

    /** Creates the decision of an entry; a cold server bears a number of requests per second, 0 for any. */
    EligibilityFixture(String entry, double coldRequestsPerSecond) {
        limits = new ServerRateLimits(entry);
        eligibility = new ServerEligibility(entry, health, limits, REGIONS, service -> coldRequestsPerSecond);
    }

    static FleetServer server(String id, String zone) {
        return server(id, zone, 1, 80, 0);
    }

    static FleetServer coldServer(String id, long coldUntilMillis) {
        return server(id, "z1", 1, 80, coldUntilMillis);
    }

    static FleetServer server(String id, String zone, long startedAtMillis, int port, long coldUntilMillis) {
        return new FleetServer(registration(id, zone, startedAtMillis, port), ServerState.READY, 0, coldUntilMillis);
    }

    static FleetServer leavingServer(String id, String zone) {
        return new FleetServer(registration(id, zone, 1, 80), ServerState.LEAVING, 1, 0);
    }

    private static ServerRegistration registration(String id, String zone, long startedAtMillis, int port) {
        return new ServerRegistration(
                id, startedAtMillis, 1, "shop", new Endpoint("10.0.0.1", port), zone, 6, false, 0);
    }
}
