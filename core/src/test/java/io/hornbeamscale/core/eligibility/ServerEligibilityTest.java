package io.hornbeamscale.core.eligibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.route.AllowedRegions;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests to servers that must not get them, and against servers that are shut out for too long. */
class ServerEligibilityTest {
    private static final long NOW = 1_000_000;
    private static final double COLD_RATE = 4;

    private final EligibilityFixture fixture = new EligibilityFixture("entry", COLD_RATE);
    private final ServerEligibility eligibility = fixture.eligibility;
    private final FleetServer server = EligibilityFixture.server("a", "z1");
    private final FleetServer cold = EligibilityFixture.coldServer("a", NOW + 10_000);

    private Verdict check(FleetServer each, long atMillis) {
        return eligibility.check(each, SendTerms.ANY, atMillis);
    }

    private static void assertForbidden(IneligibleReason reason, long earliestMillis, Verdict verdict) {
        assertEquals(Verdict.forbidden(reason, earliestMillis), verdict);
    }

    private void pause(long millis) {
        assertTrue(eligibility.pauseRequested(server, (double) millis, NOW));
    }

    private void limit(double requestsPerSecond) {
        fixture.limits.responded("a", OptionalDouble.of(requestsPerSecond), true, NOW, NOW);
    }

    @Nested
    class OneReason {
        @Test
        void forbidsNothingIfThereIsNone() {
            assertEquals(Verdict.ALLOWED, check(server, NOW));
        }

        @Test
        void excludedForbidsOnlyTheNamedServer() {
            SendTerms terms = SendTerms.ANY.excluding(Set.of("a"));
            assertForbidden(IneligibleReason.EXCLUDED, Verdict.UNKNOWN, eligibility.check(server, terms, NOW));
            assertTrue(eligibility
                    .check(EligibilityFixture.server("b", "z1"), terms, NOW)
                    .isAllowed());
        }

        @Test
        void regionForbidsServersElsewhereAndInZonesWithoutARegion() {
            SendTerms terms = SendTerms.of(AllowedRegions.of(Set.of("r2")));
            assertForbidden(IneligibleReason.REGION, Verdict.UNKNOWN, eligibility.check(server, terms, NOW));
            FleetServer unknown = EligibilityFixture.server("b", "z9");
            assertForbidden(IneligibleReason.REGION, Verdict.UNKNOWN, eligibility.check(unknown, terms, NOW));
            assertTrue(eligibility
                    .check(EligibilityFixture.server("c", "z3"), terms, NOW)
                    .isAllowed());
            assertTrue(check(unknown, NOW).isAllowed());
        }

        @Test
        void evacuationForbidsTheZoneUntilItEnds() {
            eligibility.setEvacuatedZones(Set.of("z1"));
            assertForbidden(IneligibleReason.EVACUATED, Verdict.UNKNOWN, check(server, NOW));
            assertTrue(check(EligibilityFixture.server("b", "z2"), NOW).isAllowed());
            eligibility.setEvacuatedZones(Set.of());
            assertTrue(check(server, NOW).isAllowed());
        }

        @Test
        void leavingForbidsAServerThatTheStoreReportsAsLeaving() {
            FleetServer leaving = EligibilityFixture.leavingServer("a", "z1");
            assertForbidden(IneligibleReason.LEAVING, Verdict.UNKNOWN, check(leaving, NOW));
            assertTrue(eligibility.isLeaving(leaving));
        }

        @Test
        void limitForbidsUntilTheNextShare() {
            limit(2);
            assertForbidden(IneligibleReason.RATE_LIMITED, NOW + 500, check(server, NOW));
            assertTrue(check(server, NOW + 500).isAllowed());
        }

        @Test
        void coldForbidsUntilTheNextShareAndEndsWithTheColdTime() {
            assertForbidden(IneligibleReason.COLD, NOW + 250, check(cold, NOW));
            assertTrue(check(cold, NOW + 250).isAllowed());
            eligibility.reserve(cold, NOW + 250);
            assertForbidden(IneligibleReason.COLD, NOW + 500, check(cold, NOW + 260));
            assertTrue(check(cold, NOW + 10_000).isAllowed());
        }

        @Test
        void ejectionForbidsUntilTheTrial() {
            fixture.health.unreachable("a", NOW);
            assertForbidden(IneligibleReason.EJECTED, NOW + 500, check(server, NOW));
            assertTrue(check(server, NOW + 500).isAllowed());
        }

        @Test
        void ratesDoNotBindCallsThatTheServerDoesNotCount() {
            limit(2);
            assertTrue(eligibility.check(cold, SendTerms.ANY.uncounted(), NOW).isAllowed());
        }

        @Test
        void isCountedWithEachCheck() {
            eligibility.setEvacuatedZones(Set.of("z1"));
            check(server, NOW);
            check(server, NOW);
            assertEquals(2, eligibility.count(IneligibleReason.EVACUATED));
            assertEquals(0, eligibility.count(IneligibleReason.LEAVING));
        }
    }

    /** A pair reports one reason; a time too early would make a request wait for nothing, again and again. */
    @Nested
    class TwoReasons {
        @Test
        void withoutAKnownEndTakePrecedenceInAFixedOrder() {
            SendTerms elsewhere = SendTerms.of(AllowedRegions.of(Set.of("r2")));
            eligibility.setEvacuatedZones(Set.of("z1"));
            eligibility.leavingAnnounced(server);
            pause(300);
            assertForbidden(
                    IneligibleReason.EXCLUDED,
                    Verdict.UNKNOWN,
                    eligibility.check(server, elsewhere.excluding(Set.of("a")), NOW));
            assertForbidden(IneligibleReason.REGION, Verdict.UNKNOWN, eligibility.check(server, elsewhere, NOW));
            assertForbidden(IneligibleReason.EVACUATED, Verdict.UNKNOWN, check(server, NOW));
            eligibility.setEvacuatedZones(Set.of());
            assertForbidden(IneligibleReason.LEAVING, Verdict.UNKNOWN, check(server, NOW));
        }

        @Test
        void pauseAndLimitReportTheLaterEnd() {
            pause(300);
            limit(2);
            assertForbidden(IneligibleReason.RATE_LIMITED, NOW + 500, check(server, NOW));
            pause(800);
            assertForbidden(IneligibleReason.PAUSED, NOW + 800, check(server, NOW));
        }

        @Test
        void pauseAndColdReportTheLaterEnd() {
            pause(100);
            assertForbidden(IneligibleReason.COLD, NOW + 250, check(cold, NOW));
            pause(900);
            assertForbidden(IneligibleReason.PAUSED, NOW + 900, check(cold, NOW));
        }

        @Test
        void limitAndColdReportTheLaterEnd() {
            limit(2);
            assertForbidden(IneligibleReason.RATE_LIMITED, NOW + 500, check(cold, NOW));
            EligibilityFixture slow = new EligibilityFixture("entry", 1);
            slow.limits.responded("a", OptionalDouble.of(2), true, NOW, NOW);
            assertForbidden(IneligibleReason.COLD, NOW + 1_000, slow.eligibility.check(cold, SendTerms.ANY, NOW));
        }

        @Test
        void ejectionIsReportedOnceTheOtherReasonHasEnded() {
            fixture.health.unreachable("a", NOW);
            pause(100);
            assertForbidden(IneligibleReason.PAUSED, NOW + 100, check(server, NOW));
            assertForbidden(IneligibleReason.EJECTED, NOW + 500, check(server, NOW + 100));
        }
    }

    @Nested
    class Announcement {
        private final FleetServer restarted = EligibilityFixture.server("a", "z1", 2, 80, 0);

        /** The registration may have been written before the announcement and arrive after it. */
        @Test
        void survivesALaterReadyRegistrationOfTheSameIncarnation() {
            assertTrue(eligibility.leavingAnnounced(server));
            assertFalse(eligibility.leavingAnnounced(server));
            FleetServer again = EligibilityFixture.server("a", "z1", 1, 80, NOW + 5_000);
            assertForbidden(IneligibleReason.LEAVING, Verdict.UNKNOWN, check(again, NOW + 3_600_000));
            assertTrue(eligibility.isLeaving(again));
        }

        @Test
        void endsWithANewStartTimeOrAddress() {
            eligibility.leavingAnnounced(server);
            assertTrue(check(restarted, NOW).isAllowed());
            assertTrue(
                    check(EligibilityFixture.server("a", "z1", 1, 81, 0), NOW).isAllowed());
        }

        @Test
        void ofAnotherServerChangesNothing() {
            eligibility.leavingAnnounced(server);
            assertTrue(check(EligibilityFixture.server("b", "z1"), NOW).isAllowed());
        }

        /** A response of the earlier incarnation may end after the server has started again. */
        @Test
        void ofAnEarlierIncarnationDoesNotReplaceALaterOne() {
            eligibility.leavingAnnounced(restarted);
            eligibility.leavingAnnounced(server);
            assertFalse(eligibility.leavingAnnounced(restarted));
            assertForbidden(IneligibleReason.LEAVING, Verdict.UNKNOWN, check(restarted, NOW));
        }

        /** The later incarnation has the earlier start time. */
        @Test
        void countsAlthoughTheClockWasSetBack() {
            eligibility.leavingAnnounced(restarted);
            assertTrue(check(server, NOW).isAllowed());
            assertTrue(eligibility.leavingAnnounced(server));
            assertForbidden(IneligibleReason.LEAVING, Verdict.UNKNOWN, check(server, NOW));
        }

        @Test
        void appliesToTheNextIncarnationToo() {
            eligibility.leavingAnnounced(server);
            assertTrue(eligibility.leavingAnnounced(restarted));
            assertForbidden(IneligibleReason.LEAVING, Verdict.UNKNOWN, check(restarted, NOW));
        }
    }

    @Nested
    class Pause {
        @Test
        void forbidsUntilItsEnd() {
            pause(700);
            assertForbidden(IneligibleReason.PAUSED, NOW + 700, check(server, NOW));
            assertForbidden(IneligibleReason.PAUSED, NOW + 700, check(server, NOW + 699));
            assertTrue(check(server, NOW + 700).isAllowed());
        }

        @ParameterizedTest
        @ValueSource(longs = {400, 2_000})
        void endsWithTheLaterOfTwo(long secondMillis) {
            pause(1_000);
            pause(secondMillis);
            long end = NOW + Math.max(1_000, secondMillis);
            assertForbidden(IneligibleReason.PAUSED, end, check(server, end - 1));
            assertTrue(check(server, end).isAllowed());
        }

        @ParameterizedTest
        @ValueSource(doubles = {0, -1, 3_600_001, 1e12, Double.NaN, Double.POSITIVE_INFINITY})
        void isIgnoredIfMalformed(double millis) {
            assertFalse(eligibility.pauseRequested(server, millis, NOW));
            assertTrue(check(server, NOW).isAllowed());
        }

        @Test
        void appliesToCallsThatTheServerDoesNotCountToo() {
            pause(700);
            assertForbidden(
                    IneligibleReason.PAUSED, NOW + 700, eligibility.check(server, SendTerms.ANY.uncounted(), NOW));
        }

        /** All waiting requests would otherwise arrive in the moment in which the pause ends. */
        @Test
        void isFollowedByRequestsAtAnInterval() {
            pause(700);
            int sent = 0;
            long end = NOW + 700;
            for (long now = end; now < end + ServerPauses.RAMP_MILLIS; now++) {
                if (check(server, now).isAllowed()) {
                    eligibility.reserve(server, now);
                    sent++;
                }
            }
            assertEquals(1 + (ServerPauses.RAMP_MILLIS - 1) / ServerPauses.RAMP_INTERVAL_MILLIS, sent);
            assertTrue(check(server, end + ServerPauses.RAMP_MILLIS).isAllowed());
        }

        @Test
        void endsAtDifferentTimesForTheEntries() {
            List<String> names = List.of("e1", "e2", "e3", "e4", "e5", "e6");
            Set<Long> ends = new HashSet<>();
            for (String name : names) {
                ServerEligibility each = new EligibilityFixture(name, 0).eligibility;
                each.setOtherEntries(names);
                each.pauseRequested(server, 700, NOW);
                ends.add(each.check(server, SendTerms.ANY, NOW).earliestMillis());
            }
            assertEquals(names.size(), ends.size());
            ends.forEach(end ->
                    assertTrue(end >= NOW + 700 && end < NOW + 700 + ServerPauses.SPREAD_MILLIS, ends::toString));
        }
    }

    /** A request that waits for the end of a pause must neither arrive with all others nor lose its place. */
    @Nested
    class Reservation {
        private long reserve(long nowMillis) {
            long at = Math.max(nowMillis, check(server, nowMillis).earliestMillis());
            eligibility.reserve(server, nowMillis);
            return at;
        }

        private Verdict checkReserved(long nowMillis) {
            return eligibility.check(server, SendTerms.ANY.reservedAt("a"), nowMillis);
        }

        @Test
        void afterAPauseIsSpacedFromTheOthers() {
            pause(700);
            assertEquals(NOW + 700, reserve(NOW));
            assertEquals(NOW + 700 + ServerPauses.RAMP_INTERVAL_MILLIS, reserve(NOW));
            assertEquals(NOW + 700 + 2 * ServerPauses.RAMP_INTERVAL_MILLIS, reserve(NOW));
        }

        @Test
        void madeShortlyBeforeTheEndOfAPauseIsKept() {
            pause(700);
            long at = reserve(NOW + 650);
            assertEquals(NOW + 700, at);
            assertTrue(checkReserved(at).isAllowed());
            assertFalse(check(server, at).isAllowed());
        }

        @Test
        void isLostToALongerPause() {
            pause(700);
            long at = reserve(NOW);
            pause(2_000);
            assertForbidden(IneligibleReason.PAUSED, NOW + 2_000, checkReserved(at));
        }

        @Test
        void isLostToAnAnnouncement() {
            pause(700);
            long at = reserve(NOW);
            eligibility.leavingAnnounced(server);
            assertForbidden(IneligibleReason.LEAVING, Verdict.UNKNOWN, checkReserved(at));
        }

        @Test
        void isNotCountedAgainstTheRatesAgain() {
            limit(2);
            long at = reserve(NOW);
            assertTrue(checkReserved(at).isAllowed());
            assertFalse(check(server, at).isAllowed());
        }
    }

    @Nested
    class Wait {
        private final FleetServer other = EligibilityFixture.server("b", "z1");

        @Test
        void isTheEarliestEndAndExistsOnlyIfTheTimeAloneHelps() {
            pause(700);
            eligibility.pauseRequested(other, 300, NOW);
            assertEquals(
                    OptionalLong.of(300), eligibility.earliestWaitMillis(List.of(server, other), SendTerms.ANY, NOW));
            eligibility.setEvacuatedZones(Set.of("z1"));
            assertEquals(
                    OptionalLong.empty(), eligibility.earliestWaitMillis(List.of(server, other), SendTerms.ANY, NOW));
        }

        @Test
        void isExplainedByTheNumberOfServersOfEachReason() {
            pause(700);
            eligibility.leavingAnnounced(other);
            assertEquals("leaving 1, paused 1", eligibility.summary(List.of(server, other), SendTerms.ANY, NOW));
        }
    }

    @Nested
    class Forgetting {
        @Test
        void removesAllStateOfAServer() {
            pause(700);
            limit(2);
            eligibility.coldReported(server, 5_000, NOW);
            eligibility.forget("a");
            assertEquals(Optional.empty(), check(server, NOW).reason());
        }
    }

    @Nested
    class ColdReport {
        @Test
        void makesAServerColdAndEndsIt() {
            eligibility.coldReported(server, 5_000, NOW);
            assertForbidden(IneligibleReason.COLD, NOW + 250, check(server, NOW));
            eligibility.coldReported(server, 0, NOW + 10);
            assertTrue(check(server, NOW + 10).isAllowed());
        }

        @Test
        void hasNoEffectIfTheServiceStatesNoRate() {
            ServerEligibility any = new EligibilityFixture("entry", 0).eligibility;
            any.coldReported(server, 5_000, NOW);
            assertTrue(any.check(server, SendTerms.ANY, NOW).isAllowed());
        }
    }
}
