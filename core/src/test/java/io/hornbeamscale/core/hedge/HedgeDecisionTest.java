package io.hornbeamscale.core.hedge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.limit.WindowedRetryBudget;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against second sends that are not allowed, and against slow requests that are never sent again. */
class HedgeDecisionTest {
    private static final long WINDOW = 10_000;

    /** The end of the steady load that precedes each decision. */
    private static final long START = 60_000;

    private static final long USUAL = 20;
    private static final long SENT = START;
    private static final long DUE = SENT + USUAL;
    private static final long DEADLINE = SENT + 1_500;

    private final WindowedRetryBudget retries = new WindowedRetryBudget(0.2, WINDOW, 5);
    private final HedgeDecision decision =
            new HedgeDecision(new HedgeBudget(retries, new HedgePolicy(0.05, 0.1, 0.1, 0.95), WINDOW));
    private final HedgeCandidate free = new HedgeCandidate("b", 25, 1, 8);

    /** Ten requests per second with a usual response time of 20 ms. */
    @BeforeEach
    void serveSteadyLoad() {
        for (long now = 0; now < START; now += 100) {
            retries.recordRequest("s", now);
            decision.arrived("s", "c", now);
            decision.responded("s", USUAL, now);
        }
    }

    private static HedgeRequest request() {
        return new HedgeRequest("s", "c", true, Set.of("a"), 2, false, false, SENT, 400, DEADLINE);
    }

    private static HedgeDenial denial(HedgeAnswer answer) {
        if (answer instanceof HedgeAnswer.Never never) {
            return never.denial();
        }
        return assertInstanceOf(HedgeAnswer.AskAgain.class, answer).denial().orElseThrow();
    }

    private HedgeAnswer decide(HedgeRequest request, HedgeCandidate... candidates) {
        return decision.decide(request, List.of(candidates), SENT + 100);
    }

    @Nested
    class SlowRequest {
        @Test
        void isHedgedWhenItTakesLongerThanTheQuantile() {
            HedgeAnswer.AskAgain early =
                    assertInstanceOf(HedgeAnswer.AskAgain.class, decision.decide(request(), List.of(), SENT));
            assertEquals(Optional.empty(), early.denial());
            assertEquals((double) DUE, (double) early.atMillis(), 0.07 * USUAL);
            assertEquals(new HedgeAnswer.Send("b"), decision.decide(request(), List.of(free), early.atMillis()));
        }

        @Test
        void goesToTheServerWithTheBestEstimate() {
            HedgeCandidate better = new HedgeCandidate("c", 22, 1, 8);
            assertEquals(new HedgeAnswer.Send("c"), decide(request(), free, better));
        }

        /** A single response may hang on a server that is usually fast. */
        @Test
        void isHedgedThoughItsServerIsUsuallyFast() {
            HedgeRequest request = new HedgeRequest("s", "c", true, Set.of("a"), 2, false, false, SENT, 15, DEADLINE);
            assertEquals(new HedgeAnswer.Send("b"), decide(request, free));
        }

        @Test
        void isAskedForAgainAfterADenialAtGrowingIntervals() {
            long now = DUE + 10;
            int questions = 0;
            while (decision.decide(request(), List.of(), now) instanceof HedgeAnswer.AskAgain again) {
                assertTrue(again.atMillis() > now);
                now = again.atMillis();
                questions++;
            }
            assertTrue(questions > 1 && questions <= 7, questions + " questions");
            assertTrue(now < DEADLINE);
        }
    }

    @Nested
    class Exclusion {
        @Test
        void isThatHedgingIsOff() {
            decision.setLimits(HedgePolicy.OFF, WINDOW);
            assertEquals(HedgeDenial.OFF, denial(decide(request(), free)));
        }

        @Test
        void isThatTheRequestMayRunOnlyOnce() {
            HedgeRequest request = new HedgeRequest("s", "c", false, Set.of("a"), 2, false, false, SENT, 400, DEADLINE);
            assertEquals(new HedgeAnswer.Never(HedgeDenial.NOT_REPEATABLE), decide(request, free));
        }

        @Test
        void isThatTheResponseHasBegun() {
            HedgeRequest request = new HedgeRequest("s", "c", true, Set.of("a"), 2, true, false, SENT, 400, DEADLINE);
            assertEquals(new HedgeAnswer.Never(HedgeDenial.RESPONSE_BEGUN), decide(request, free));
        }

        @Test
        void isThatTheRequestWasHedgedBefore() {
            HedgeRequest request = new HedgeRequest("s", "c", true, Set.of("a"), 3, false, true, SENT, 400, DEADLINE);
            assertEquals(new HedgeAnswer.Never(HedgeDenial.ALREADY_HEDGED), decide(request, free));
        }

        @Test
        void isThatTheRouteAllowsNoFurtherServer() {
            HedgeRequest request =
                    new HedgeRequest("s", "c", true, Set.of("a", "x"), 2, false, false, SENT, 400, DEADLINE);
            assertEquals(new HedgeAnswer.Never(HedgeDenial.MAX_SERVERS), decide(request, free));
        }

        @Test
        void isThatTheUsualTimesAreUnknown() {
            HedgeRequest request = new HedgeRequest("t", "c", true, Set.of("a"), 2, false, false, SENT, 400, DEADLINE);
            assertEquals(new HedgeAnswer.Never(HedgeDenial.UNKNOWN_TIMES), decide(request, free));
        }

        @Test
        void isThatNoTimeIsLeftForASecondResponse() {
            HedgeRequest request =
                    new HedgeRequest("s", "c", true, Set.of("a"), 2, false, false, SENT, 400, SENT + 100 + USUAL);
            assertEquals(new HedgeAnswer.Never(HedgeDenial.NO_TIME), decide(request, free));
        }

        @Test
        void isABurst() {
            for (int i = 0; i < 50; i++) {
                retries.recordRequest("s", SENT + i);
                decision.arrived("s", "c", SENT + i);
            }
            assertEquals(HedgeDenial.BURST, denial(decide(request(), free)));
        }

        @Test
        void isThatMostSlotsOfTheServersAreTaken() {
            HedgeCandidate full = new HedgeCandidate("c", 25, 14, 8);
            assertEquals(HedgeDenial.OVERLOAD, denial(decide(request(), free, full)));
        }

        @Test
        void isThatMostSlotsOfEachServerAreTaken() {
            assertEquals(HedgeDenial.OVERLOAD, denial(decide(request(), new HedgeCandidate("b", 25, 6, 8))));
        }

        @Test
        void isThatNoServerMayGetTheRequest() {
            assertEquals(HedgeDenial.NO_SERVER, denial(decide(request())));
        }

        @Test
        void isThatOnlyServersAreLeftThatHaveTheRequest() {
            assertEquals(HedgeDenial.NO_SERVER, denial(decide(request(), new HedgeCandidate("a", 25, 1, 8))));
        }

        @Test
        void isThatNoServerIsExpectedToRespondSooner() {
            assertEquals(HedgeDenial.NO_BETTER_SERVER, denial(decide(request(), new HedgeCandidate("b", 400, 1, 8))));
        }

        @Test
        void isThatTheShareIsUsedUp() {
            for (int i = 0; i < 5; i++) {
                assertEquals(new HedgeAnswer.Send("b"), decide(request(), free));
            }
            assertEquals(HedgeDenial.SHARE, denial(decide(request(), free)));
        }

        @Test
        void isThatRetriesHaveUsedTheirPart() {
            while (retries.tryRetry("s", SENT)) {
                // Uses up the budget.
            }
            assertEquals(HedgeDenial.RETRY_BUDGET, denial(decide(request(), free)));
        }
    }

    @Nested
    class AnySequence {
        /** Whatever is slow or loaded, the extra sends stay within the share and no request breaks its own limits. */
        @ParameterizedTest
        @ValueSource(longs = {11, 12, 13, 14, 15, 16})
        void staysWithinTheShare(long seed) {
            Random random = new Random(seed);
            int requests = 0;
            int hedges = 0;
            long now = START;
            for (int step = 0; step < 4_000; step++) {
                now += random.nextInt(200);
                retries.recordRequest("s", now);
                decision.arrived("s", "c", now);
                requests++;
                decision.responded("s", random.nextInt(20) == 0 ? 400 : USUAL, now);
                HedgeRequest request = new HedgeRequest(
                        "s",
                        "c",
                        random.nextInt(3) > 0,
                        random.nextBoolean() ? Set.of("a") : Set.of("a", "b"),
                        1 + random.nextInt(3),
                        random.nextInt(5) == 0,
                        random.nextInt(5) == 0,
                        now - random.nextInt(600),
                        random.nextInt(500),
                        now + random.nextInt(1_500));
                List<HedgeCandidate> candidates = new ArrayList<>();
                for (String id : List.of("a", "b", "c")) {
                    if (random.nextBoolean()) {
                        candidates.add(new HedgeCandidate(id, random.nextInt(500), random.nextInt(10), 8));
                    }
                }
                if (decision.decide(request, candidates, now) instanceof HedgeAnswer.Send send) {
                    hedges++;
                    assertTrue(request.isRepeatable() && !request.isResponseBegun() && !request.isHedged());
                    assertTrue(!request.servers().contains(send.server()));
                    assertTrue(request.servers().size() < request.maxServers());
                    assertTrue(candidates.stream().anyMatch(c -> c.server().equals(send.server()) && c.requests() < 8));
                }
            }
            // The steady load before the sequence adds the requests of one window.
            assertTrue(hedges > 0 && hedges <= 0.05 * (requests + WINDOW / 100), hedges + " of " + requests);
        }
    }
}
