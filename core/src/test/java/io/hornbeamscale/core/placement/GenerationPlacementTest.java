package io.hornbeamscale.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.eligibility.SendTerms;
import io.hornbeamscale.core.eligibility.ServerEligibility;
import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.fleet.ServerRegistration;
import io.hornbeamscale.core.fleet.ServerState;
import io.hornbeamscale.core.limit.ServerRateLimits;
import io.hornbeamscale.core.route.EngineSpec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against generations that wait, or whose memory is evicted, although another server has room. */
class GenerationPlacementTest {
    private static final EngineSpec ENGINE = new EngineSpec(24, 34_377, 163_840, 24_000, true, true, 4);
    private static final GenerationSize LONG = new GenerationSize(3_000, 900);
    private static final GenerationSize SHORT = new GenerationSize(2_200, 12);
    private static final Map<String, String> REGIONS = Map.of("z1", "r1", "z2", "r1", "z3", "r2");

    private final LoadTracker loads = new LoadTracker();
    private final HealthTracker health = new HealthTracker();
    private final EventIntervalTracker intervals = new EventIntervalTracker();
    private final CopyLinkSchedule links = new CopyLinkSchedule();
    private final ServerRateLimits limits = new ServerRateLimits("entry");
    private final ServerEligibility eligibility = new ServerEligibility("entry", health, limits, REGIONS, service -> 0);
    private final GenerationPlacement placement =
            new GenerationPlacement(loads, health, intervals, links, eligibility, "z1", REGIONS);
    private final Random random = new Random(3);

    private static FleetServer server(String id, String zone) {
        return server(id, zone, 0);
    }

    private static FleetServer server(String id, String zone, long slowStart) {
        return new FleetServer(
                new ServerRegistration(id, 1, 1, "tales", new Endpoint("10.0.0.1", 80), zone, 24, false, slowStart),
                ServerState.READY,
                0);
    }

    private String choose(GenerationSize size, FleetServer... servers) {
        return placement
                .choose(List.of(servers), ENGINE, size, SendTerms.ANY, 0, random)
                .map(FleetServer::id)
                .orElse("");
    }

    private void fill(String server, int requests, long tokens, long prefill) {
        loads.add(server, new ServerLoad(requests, tokens, prefill));
    }

    @Nested
    class Choice {
        @Test
        void avoidsAServerWhereManyPromptsWait() {
            fill("a", 3, 9_000, 9_000);
            fill("b", 5, 15_000, 0);
            assertEquals("b", choose(LONG, server("a", "z1"), server("b", "z1")));
        }

        @Test
        void staysNearUnlessTheServerIsBusy() {
            assertEquals("a", choose(LONG, server("a", "z1"), server("b", "z2"), server("c", "z3")));
            fill("a", 10, 20_000, 3_000);
            assertEquals("b", choose(LONG, server("a", "z1"), server("b", "z2"), server("c", "z3")));
        }

        @Test
        void findsNoneWithoutMemory() {
            fill("a", 10, 41_000, 0);
            assertEquals("", choose(LONG, server("a", "z1")));
        }

        @Test
        void findsNoneWithoutASlot() {
            fill("a", 24, 1_000, 0);
            assertEquals("", choose(SHORT, server("a", "z1")));
        }

        @Test
        void letsALargeRequestRunAloneOnAnEmptyServer() {
            assertEquals("a", choose(new GenerationSize(60_000, 10), server("a", "z1")));
        }

        @Test
        void usesAServerThatHasJustStartedOnlyIfNoOtherHasRoom() {
            fill("a", 8, 25_000, 2_000);
            assertEquals("a", choose(LONG, server("a", "z1"), server("b", "z1", 900)));
            fill("a", 1, 40_000, 0);
            assertEquals("b", choose(LONG, server("a", "z1"), server("b", "z1", 900)));
        }

        @Test
        void keepsLongResponsesAwayFromSlowServers() {
            intervals.observe("a", 43);
            intervals.observe("b", 33);
            fill("b", 4, 16_000, 0);
            assertEquals("b", choose(LONG, server("a", "z1"), server("b", "z1")));
        }

        /** Every prompt on a slow server made the streams that ran there late; a fast server reads it in time. */
        @Test
        void keepsPromptsAwayFromSlowServersWithRunningStreams() {
            intervals.workTimeStated("a", 130);
            intervals.workTimeStated("b", 100);
            fill("a", 4, 15_000, 0);
            fill("b", 4, 15_000, 4_000);
            assertEquals("b", choose(SHORT, server("a", "z1"), server("b", "z1")));
        }

        /** Load: fast servers are full at a crest; the emptier slow server has fewer streams to disturb. */
        @Test
        void usesTheEmptierSlowServerIfFastOnesAreFull() {
            intervals.workTimeStated("a", 130);
            intervals.workTimeStated("b", 100);
            intervals.workTimeStated("c", 130);
            fill("a", 4, 15_000, 0);
            fill("b", 24, 40_000, 0);
            fill("c", 2, 15_000, 1_400);
            assertEquals("c", choose(LONG, server("a", "z1"), server("b", "z1"), server("c", "z1")));
        }

        @Test
        void countsWhatOtherEntriesPlaced() {
            loads.peerReported("peer", Map.of("a", new ServerLoad(4, 12_000, 9_000)), 0);
            assertEquals("b", choose(LONG, server("a", "z1"), server("b", "z1")));
        }

        @Test
        void leavesOutAServerThatCannotBeReached() {
            health.unreachable("a", 0);
            assertEquals("b", choose(LONG, server("a", "z1"), server("b", "z2")));
        }
    }

    @Nested
    class MemoryInUse {
        private void run(String server, int requests, long usedEach) {
            long used = requests * usedEach;
            loads.add(server, new ServerLoad(requests, requests * LONG.totalTokens(), 0, used));
        }

        /** Short responses waited for long ones whose memory was counted as full long before it was. */
        @Test
        void letsAShortResponseRunBesideLongOnesThatHaveNotGrownYet() {
            run("a", 9, 3_100);
            assertEquals("", choose(LONG, server("a", "z1")));
            assertEquals("a", choose(SHORT, server("a", "z1")));
        }

        @Test
        void refusesAShortResponseThatWouldInterruptAnother() {
            run("a", 9, 3_600);
            assertEquals("", choose(SHORT, server("a", "z1")));
        }

        /** Streams of a leaving server were lost because long responses had filled every other server. */
        @Test
        void leavesRoomForStreamsThatMoveAwayFromALeavingServer() {
            run("a", 7, 3_900);
            assertEquals("", choose(LONG, server("a", "z1")));
        }

        /** Streams do not move between regions, so a region with a single other server can save only one server's. */
        @Test
        void prefersARegionWhoseServersCouldTakeTheStreamsOver() {
            run("near1", 5, 3_500);
            run("near2", 5, 3_500);
            run("far1", 5, 3_500);
            run("far2", 5, 3_500);
            run("far3", 5, 3_500);
            run("far4", 5, 3_500);
            assertTrue(choose(
                            LONG,
                            server("near1", "z1"),
                            server("near2", "z1"),
                            server("far1", "z3"),
                            server("far2", "z3"),
                            server("far3", "z3"),
                            server("far4", "z3"))
                    .startsWith("far"));
        }
    }

    @Nested
    class Destination {
        private final FleetServer source = server("s", "z1");

        private Optional<String> choose(FleetServer... servers) {
            return placement
                    .chooseDestination(
                            List.of(servers), ENGINE, LONG, source, SendTerms.ANY.excluding(Set.of("s")), 0, random)
                    .map(FleetServer::id);
        }

        /** A copy over the slow link between regions would take minutes, and the stream would be lost. */
        @Test
        void isNeverInAnotherRegion() {
            assertEquals(Optional.empty(), choose(server("c", "z3")));
        }

        @Test
        void isInTheSourcesZoneIfPossible() {
            assertEquals(Optional.of("a"), choose(server("a", "z1"), server("b", "z2")));
        }

        /**
         * A copy to another zone takes twice as long, and the copies of all other streams of the server queue behind
         * it.
         */
        @Test
        void isInTheSourcesZoneAlthoughBusierWhileManyStreamsWaitForTheLink() {
            fill("a", 8, 20_000, 0);
            assertEquals(Optional.of("b"), choose(server("a", "z1"), server("b", "z2")));
            fill("s", 8, 24_000, 0);
            assertEquals(Optional.of("a"), choose(server("a", "z1"), server("b", "z2")));
        }

        @Test
        void isAServerWithoutEnoughMemoryRatherThanNone() {
            fill("a", 10, 45_000, 0);
            assertEquals(Optional.of("a"), choose(server("a", "z1")));
        }

        /** The copies of one server run one after the other, so several streams must not choose the same target. */
        @Test
        void spreadsOverServersWhoseLinksAreFree() {
            links.begin("s", "a", 800, 0);
            assertEquals(Optional.of("b"), choose(server("a", "z1"), server("b", "z1")));
        }
    }

    @Nested
    class Backup {
        private Optional<String> choose(FleetServer... servers) {
            return placement
                    .chooseBackup(List.of(servers), ENGINE, LONG, server("s", "z1"), SendTerms.ANY, 0, random)
                    .map(FleetServer::id);
        }

        @Test
        void isNeverTheServerItself() {
            assertEquals(Optional.empty(), choose(server("s", "z1")));
        }

        @Test
        void isGivenUpWhenMemoryGetsScarce() {
            fill("a", 4, 13_000, 0);
            assertEquals(Optional.empty(), choose(server("a", "z1")));
        }

        @Test
        void isInTheSameRegion() {
            assertEquals(Optional.empty(), choose(server("c", "z3")));
        }
    }

    @Nested
    class Load {
        /** 400 requests are placed on six equal servers; none receives far more requests than the others. */
        @Test
        void spreadsOverEqualServers() {
            FleetServer[] servers = new FleetServer[6];
            for (int i = 0; i < servers.length; i++) {
                servers[i] = server("s" + i, "z1");
            }
            Map<String, Integer> counts = new HashMap<>();
            for (int i = 0; i < 400; i++) {
                String chosen = choose(SHORT, servers);
                assertNotEquals("", chosen);
                counts.merge(chosen, 1, Integer::sum);
                fill(chosen, 1, 20, 20);
                if (i >= 60) {
                    loads.remove("s" + i % 6, new ServerLoad(1, 20, 20));
                }
            }
            counts.values().forEach(n -> assertTrue(n > 40 && n < 100, counts.toString()));
        }
    }
}
