package io.hornbeamscale.core.hedge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.core.eligibility.SendTerms;
import io.hornbeamscale.core.eligibility.ServerEligibility;
import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.fleet.ServerRegistration;
import io.hornbeamscale.core.fleet.ServerState;
import io.hornbeamscale.core.limit.ServerRateLimits;
import io.hornbeamscale.core.placement.HealthTracker;
import io.hornbeamscale.core.placement.LoadTracker;
import io.hornbeamscale.core.placement.PlainPlacement;
import io.hornbeamscale.core.placement.ServerLoad;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against hedges to servers that must not, or should not, get extra requests. */
class HedgeCandidatesTest {
    private static final Map<String, String> REGIONS = Map.of("z1", "r1");
    private static final int SLOTS = 6;
    private static final long NOW = 60_000;
    private static final long COLD_MILLIS = 1_000;

    private final LoadTracker loads = new LoadTracker();
    private final HealthTracker health = new HealthTracker();
    private final ServerRateLimits limits = new ServerRateLimits("entry");
    private final ServerEligibility eligibility = new ServerEligibility("entry", health, limits, REGIONS, service -> 0);
    private final HedgeCandidates candidates = new HedgeCandidates(
            eligibility, limits, new PlainPlacement(loads, health, eligibility, "z1", REGIONS), loads);

    private static FleetServer server(String id, ServerState state, long coldUntilMillis) {
        return new FleetServer(
                new ServerRegistration(id, 1, 1, "shop", new Endpoint("10.0.0.1", 80), "z1", SLOTS, false, 0),
                state,
                0,
                coldUntilMillis);
    }

    private final FleetServer ready = server("a", ServerState.READY, 0);

    private List<HedgeCandidate> of(FleetServer server) {
        return candidates.of(List.of(server), SendTerms.ANY, NOW);
    }

    @Nested
    class ReadyServer {
        @Test
        void isACandidateWithItsEstimateAndLoad() {
            health.answered("a", false, 30);
            loads.add("a", new ServerLoad(3, 0, 0));
            HedgeCandidate found = of(ready).get(0);
            assertEquals("a", found.server());
            assertEquals(3, found.requests());
            assertEquals(SLOTS, found.slots());
            // A half-full server takes 1/8 longer than an empty one.
            assertEquals(30 * 1.125, found.estimateMillis(), 1e-9);
        }
    }

    @Nested
    class NoCandidate {
        @Test
        void isAServerThatGotTheRequest() {
            assertEquals(List.of(), candidates.of(List.of(ready), SendTerms.ANY.excluding(Set.of("a")), NOW));
        }

        @Test
        void isAServerThatLeaves() {
            eligibility.leavingAnnounced(ready);
            assertEquals(List.of(), of(ready));
        }

        @Test
        void isAServerInAnEvacuatedZone() {
            eligibility.setEvacuatedZones(Set.of("z1"));
            assertEquals(List.of(), of(ready));
        }

        @Test
        void isAServerWhoseRegistrationSaysThatItIsCold() {
            assertEquals(List.of(), of(server("a", ServerState.READY, NOW + COLD_MILLIS)));
        }

        @Test
        void isAServerWhoseResponseSaysThatItIsCold() {
            eligibility.coldReported(ready, COLD_MILLIS, NOW);
            assertEquals(List.of(), of(ready));
            assertEquals(
                    1,
                    candidates
                            .of(List.of(ready), SendTerms.ANY, NOW + COLD_MILLIS)
                            .size());
        }

        /** Long after the limit was named a request may be sent without waiting, but it is kept for first sends. */
        @Test
        void isAServerThatNamesALimit() {
            limits.responded("a", OptionalDouble.of(5), true, 0, 0);
            assertEquals(List.of(), of(ready));
        }

        @Test
        void isAPausedServer() {
            eligibility.pauseRequested(ready, 2_000, NOW);
            assertEquals(List.of(), of(ready));
        }

        @Test
        void isAnEjectedServer() {
            health.unreachable("a", NOW);
            assertEquals(List.of(), of(ready));
        }
    }
}
