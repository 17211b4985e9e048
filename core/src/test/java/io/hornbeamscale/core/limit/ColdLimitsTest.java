package io.hornbeamscale.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a rate for cold servers that suits the usual limits but exceeds those of a stricter deployment. */
class ColdLimitsTest {
    @Nested
    class SendRate {
        @ParameterizedTest
        @CsvSource({"1.5, 5, 28", "1.2, 5, 28", "1.0, 8, 12", "1.5, 5, 2", "1.0, 5, 100"})
        void keepsTheSharesAndOneMoreRequestOfEachSharerWithinTheLimit(double overage, double slack, double rate) {
            double used = new ColdLimits(overage, slack).sendRate(rate);
            double inOneSecond = 1.25 * used + 0.25 * used + 4;
            assertTrue(inOneSecond <= overage * rate + slack + 1e-9, "requests in one second: " + inOneSecond);
        }

        @Test
        void isTheStatedRateUnderTheUsualLimits() {
            assertEquals(28, ColdLimits.DEFAULT.sendRate(28));
        }

        @Test
        void isZeroIfAColdServerBearsAnyRate() {
            assertEquals(0, ColdLimits.DEFAULT.sendRate(0));
        }

        @Test
        void neverLeavesAColdServerIdleForGood() {
            assertTrue(new ColdLimits(0, 0).sendRate(28) > 0);
        }
    }

    @Nested
    class Arguments {
        @Test
        void mustNotBeNegative() {
            assertThrows(IllegalArgumentException.class, () -> new ColdLimits(-1, 5));
            assertThrows(IllegalArgumentException.class, () -> new ColdLimits(1, -5));
        }
    }
}
