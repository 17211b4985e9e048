package io.hornbeamscale.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.core.eligibility.SendTerms;
import io.hornbeamscale.core.eligibility.ServerEligibility;
import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.fleet.ServerRegistration;
import io.hornbeamscale.core.fleet.ServerState;
import io.hornbeamscale.core.limit.ServerRateLimits;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against short requests that go to a full, failing or distant server while another one is free. */
class PlainPlacementTest {
    private static final Map<String, String> REGIONS = Map.of("z1", "r1", "z2", "r1", "z3", "r2");

    private final LoadTracker loads = new LoadTracker();
    private final HealthTracker health = new HealthTracker();
    private final ServerRateLimits limits = new ServerRateLimits("entry");
    private final ServerEligibility eligibility = new ServerEligibility("entry", health, limits, REGIONS, service -> 0);
    private final PlainPlacement placement = new PlainPlacement(loads, health, eligibility, "z1", REGIONS);
    private final Random random = new Random(3);

    private static FleetServer server(String id, String zone) {
        return new FleetServer(
                new ServerRegistration(id, 1, 1, "shop", new Endpoint("10.0.0.1", 80), zone, 6, false, 0),
                ServerState.READY,
                0);
    }

    private String choose(Set<String> excluded, FleetServer... servers) {
        return placement
                .choose(List.of(servers), SendTerms.ANY.excluding(excluded), 0, random)
                .map(choice -> choice.server().id())
                .orElse("");
    }

    @Nested
    class Choice {
        private final FleetServer near = server("near", "z1");
        private final FleetServer far = server("far", "z3");

        @Test
        void staysInTheZone() {
            assertEquals("near", choose(Set.of(), near, far));
        }

        @Test
        void crossesRegionsWhenWaitingCostsMore() {
            loads.add("near", new ServerLoad(24, 0, 0));
            assertEquals("far", choose(Set.of(), near, far));
        }

        @Test
        void avoidsAServerThatFailsManyRequests() {
            FleetServer other = server("other", "z2");
            for (int i = 0; i < 4; i++) {
                health.answered("near", true, 20);
            }
            assertEquals("other", choose(Set.of(), near, other));
        }

        @Test
        void leavesExcludedServersOut() {
            assertEquals("", choose(Set.of("near"), near));
        }

        /** If all servers are ejected, the fault may lie with the entry itself, and trying a server costs little. */
        @Test
        void triesEjectedServersIfThereIsNoOther() {
            health.unreachable("near", 0);
            assertEquals("near", choose(Set.of(), near));
            assertEquals("far", choose(Set.of(), near, far));
        }
    }
}
