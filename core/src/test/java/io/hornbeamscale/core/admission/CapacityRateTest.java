package io.hornbeamscale.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against refusals that rest on a rate of capacity that was never measured, or was measured long ago. */
class CapacityRateTest {
    /** Occupies 3,500 tokens for 5.4 s. */
    private static final AdmissionRequest LONG =
            new AdmissionRequest("engines", "chat", "a", 0, 2_800, 700, 0, 1_500, 12_000, false);

    private static final double LONG_RATE = LONG.memoryTokens() / LONG.durationMillis();

    private final CapacityRate rate = new CapacityRate();

    @Nested
    class Expectation {
        @Test
        void isUnlimitedWhileNothingIsKnown() {
            assertEquals(Double.POSITIVE_INFINITY, rate.tokensPerMilli(0));
        }

        @Test
        void isWhatTheRunningRequestsWillFree() {
            rate.admitted(LONG, false, 0);
            rate.admitted(LONG, false, 0);
            assertEquals(2 * LONG_RATE, rate.tokensPerMilli(0), 1e-9);
        }

        /** Engines take 7 ms or more per step, so a duration that is only assumed can be wrong by far. */
        @Test
        void followsTheMeasuredDuration() {
            rate.admitted(LONG, false, 0);
            rate.admitted(LONG, false, 0);
            rate.ended(LONG, 10_000, 10_000);
            assertEquals(LONG.memoryTokens() / 10_000.0, rate.tokensPerMilli(10_000), 1e-9);
        }
    }

    @Nested
    class Measurement {
        @Test
        void replacesTheExpectation() {
            rate.admitted(LONG, false, 0);
            rate.waitingChanged(1, 0);
            // The other entries take what becomes free.
            assertTrue(rate.tokensPerMilli(20_000) < 0.4 * LONG_RATE);
        }

        @Test
        void countsAdmissionsOnlyWhileRequestsWait() {
            for (int i = 0; i < 10; i++) {
                rate.admitted(LONG, false, 0);
                rate.ended(LONG, 5_400, 0);
            }
            rate.waitingChanged(1, 0);
            assertEquals(0, rate.tokensPerMilli(3_000));
            rate.admitted(LONG, true, 3_000);
            assertTrue(rate.tokensPerMilli(3_000) > 0);
        }

        @Test
        void losesItsWeightAfterAShortage() {
            rate.admitted(LONG, false, 0);
            rate.waitingChanged(1, 0);
            rate.waitingChanged(-1, 10_000);
            assertEquals(LONG_RATE, rate.tokensPerMilli(100_000), 0.01 * LONG_RATE);
        }

        /** The status of other entries was lost, and servers refused what was sent to memory that was in use. */
        @Test
        void doesNotCountARequestThatAServerSentBack() {
            rate.waitingChanged(1, 0);
            rate.admitted(LONG, true, 3_000);
            rate.returned(LONG, 3_000);
            assertEquals(0, rate.tokensPerMilli(3_000));
        }
    }
}
