package io.hornbeamscale.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests to a failed server, and against a server that stays ejected after it has recovered. */
class HealthTrackerTest {
    private final HealthTracker health = new HealthTracker();

    @Nested
    class Unreachable {
        @Test
        void ejectsAtOnceAndForLongerEachTime() {
            health.unreachable("a", 0);
            assertFalse(health.isUsable("a", 499));
            assertTrue(health.isUsable("a", 500));
            health.unreachable("a", 500);
            assertFalse(health.isUsable("a", 1_499));
        }

        @Test
        void neverEjectsForMoreThanFourSeconds() {
            for (int i = 0; i < 20; i++) {
                health.unreachable("a", 0);
            }
            assertTrue(health.isUsable("a", 4_000));
        }
    }

    @Nested
    class Failed {
        @Test
        void ejectsOnlyAfterThreeConsecutiveFailures() {
            health.failed("a", 0);
            health.failed("a", 0);
            assertTrue(health.isUsable("a", 0));
            health.failed("a", 0);
            assertFalse(health.isUsable("a", 0));
        }

        @Test
        void isResetByAResponse() {
            health.failed("a", 0);
            health.failed("a", 0);
            health.answered("a", false, 10);
            health.failed("a", 0);
            assertTrue(health.isUsable("a", 0));
        }

        @Test
        void allowsOneTrialRequest() {
            for (int i = 0; i < 3; i++) {
                health.failed("a", 0);
            }
            assertTrue(health.isUsable("a", 600));
            health.sent("a", 600);
            assertFalse(health.isUsable("a", 700));
        }
    }

    @Nested
    class Averages {
        @Test
        void followTheOutcomes() {
            assertEquals(40, health.responseMillis("a", 40));
            health.answered("a", true, 100);
            assertEquals(0.1, health.failureRate("a"), 1e-9);
            assertEquals(100, health.responseMillis("a", 40), 1e-9);
            health.answered("a", false, 200);
            assertEquals(110, health.responseMillis("a", 40), 1e-9);
            assertEquals(0.09, health.failureRate("a"), 1e-9);
        }

        @Test
        void areGoneWithTheServer() {
            health.answered("a", true, 100);
            health.forget("a");
            assertEquals(0, health.failureRate("a"));
        }
    }

    /** Guards against a slow server that looks fast because its slow responses are all cancelled. */
    @Nested
    class CancelledSend {
        private final HealthTracker health = new HealthTracker();

        @Test
        void raisesTheResponseTime() {
            health.answered("a", false, 20);
            for (int i = 0; i < 20; i++) {
                health.cancelled("a", 200);
            }
            assertTrue(health.responseMillis("a", 40) > 150);
        }

        @Test
        void neverLowersTheResponseTime() {
            health.answered("a", false, 200);
            health.cancelled("a", 20);
            assertEquals(200, health.responseMillis("a", 40));
        }

        @Test
        void isKnownOfAServerWithoutResponses() {
            health.cancelled("a", 200);
            assertEquals(200, health.responseMillis("a", 40));
        }

        @Test
        void doesNotEndAnEjection() {
            health.unreachable("a", 0);
            health.cancelled("a", 200);
            assertFalse(health.isUsable("a", 1));
        }
    }
}
