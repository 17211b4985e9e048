package io.hornbeamscale.core.hedge;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against extra sends in a burst. The usual load of the long responses is 13 to 14 requests per second, and
 * bursts of all kinds have 1.5 to 2.5 times the usual load for 3 to 10 s.
 */
class ArrivalRatesTest {
    private static final double USUAL_PER_SECOND = 13.5;

    private final ArrivalRates rates = new ArrivalRates();

    /** Lets requests arrive at random times and returns in how many of the steps of 100 ms there was a burst. */
    private int arrive(double perSecond, long fromMillis, long toMillis, Random random) {
        int bursts = 0;
        for (long now = fromMillis; now < toMillis; now++) {
            if (random.nextDouble() < perSecond / 1_000) {
                rates.arrived("s", now);
            }
            if (now % 100 == 0 && rates.isBurst("s", now)) {
                bursts++;
            }
        }
        return bursts;
    }

    @Nested
    class Burst {
        @Test
        void isNotSeenForAnUnknownService() {
            assertFalse(rates.isBurst("s", 0));
        }

        @Test
        void isNotSeenAtTheUsualLoad() {
            int steps = 1_200;
            int bursts = arrive(USUAL_PER_SECOND, 0, steps * 100L, new Random(3));
            assertTrue(bursts < steps / 10, bursts + " of " + steps);
        }

        @Test
        void isSeenAtTwoAndAHalfTimesTheUsualLoad() {
            Random random = new Random(4);
            arrive(USUAL_PER_SECOND, 0, 60_000, random);
            arrive(2.5 * USUAL_PER_SECOND, 60_000, 62_000, random);
            assertTrue(rates.isBurst("s", 62_000));
        }

        @Test
        void isSeenWhenOneCustomerSendsSevenAndAHalfTimesItsLoad() {
            Random random = new Random(5);
            arrive(USUAL_PER_SECOND, 0, 60_000, random);
            // The customer has a fifth of the usual load.
            arrive((0.8 + 0.2 * 7.5) * USUAL_PER_SECOND, 60_000, 63_000, random);
            assertTrue(rates.isBurst("s", 63_000));
        }

        @Test
        void endsWithTheLoad() {
            Random random = new Random(6);
            arrive(USUAL_PER_SECOND, 0, 60_000, random);
            arrive(2.5 * USUAL_PER_SECOND, 60_000, 65_000, random);
            arrive(USUAL_PER_SECOND, 65_000, 75_000, random);
            assertFalse(rates.isBurst("s", 75_000));
        }

        @Test
        void isKeptApartByService() {
            Random random = new Random(7);
            arrive(USUAL_PER_SECOND, 0, 60_000, random);
            arrive(2.5 * USUAL_PER_SECOND, 60_000, 62_000, random);
            assertFalse(rates.isBurst("t", 62_000));
        }
    }
}
