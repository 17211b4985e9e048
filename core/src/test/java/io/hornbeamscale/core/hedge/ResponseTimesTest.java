package io.hornbeamscale.core.hedge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against hedges after a delay that does not follow from what a service usually takes. */
class ResponseTimesTest {
    /** The relative error of a quantile that the sketch allows. */
    private static final double TOLERANCE = 0.07;

    private final ResponseTimes times = new ResponseTimes();

    /** Records 1 to 100 ms, as many times as asked for. */
    private void record(String service, int rounds, long now) {
        for (int i = 0; i < rounds; i++) {
            for (int millis = 1; millis <= 100; millis++) {
                times.record(service, millis, now);
            }
        }
    }

    private double known(double share) {
        return (double) times.quantile("s", share, 0).orElseThrow();
    }

    @Nested
    class Quantile {
        @Test
        void isUnknownForAnUnknownService() {
            assertEquals(OptionalLong.empty(), times.quantile("s", 0.5, 0));
        }

        @Test
        void isUnknownWhileTooFewResponsesLieAboveIt() {
            for (int i = 0; i < 39; i++) {
                times.record("s", 10, 0);
            }
            assertEquals(OptionalLong.empty(), times.quantile("s", 0.95, 0));
            assertTrue(times.quantile("s", 0.9, 0).isPresent());
            times.record("s", 10, 0);
            assertTrue(times.quantile("s", 0.95, 0).isPresent());
        }

        @Test
        void isThatOfTheRecordedTimes() {
            record("s", 3, 0);
            assertEquals(50, known(0.5), 50 * TOLERANCE);
            assertEquals(95, known(0.95), 95 * TOLERANCE);
        }

        @Test
        void isKeptApartByService() {
            record("s", 3, 0);
            assertEquals(OptionalLong.empty(), times.quantile("t", 0.5, 0));
        }
    }

    @Nested
    class Decay {
        /** A service that was slow must not be hedged by its old times forever. */
        @Test
        void letsNewTimesPrevailOverManyOldOnes() {
            for (int i = 0; i < 20_000; i++) {
                times.record("s", 500, 0);
            }
            for (int i = 0; i < 20_000; i++) {
                times.record("s", 20, 0);
            }
            assertEquals(20, known(0.9), 20 * TOLERANCE);
        }

        @Test
        void forgetsTimesWithTheirAge() {
            record("s", 1, 0);
            assertTrue(times.quantile("s", 0.95, 60_000).isPresent());
            assertEquals(OptionalLong.empty(), times.quantile("s", 0.95, 120_000));
        }

        @Test
        void survivesALongPause() {
            record("s", 1, 0);
            assertEquals(OptionalLong.empty(), times.quantile("s", 0.5, 100L * 24 * 3_600_000));
            record("s", 1, 100L * 24 * 3_600_000);
            assertTrue(times.quantile("s", 0.5, 100L * 24 * 3_600_000).isPresent());
        }
    }
}
