package io.hornbeamscale.core.hedge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against limits that no operator asked for. */
class HedgePolicyTest {
    @Nested
    class Policy {
        @Test
        void isOffWithoutAShare() {
            assertFalse(HedgePolicy.OFF.isOn());
            assertFalse(HedgePolicy.ofShare(0).isOn());
            assertTrue(HedgePolicy.ofShare(0.01).isOn());
        }

        @Test
        void limitsSingleServicesAndCustomersByDefault() {
            assertEquals(new HedgePolicy(0.02, 0.04, 0.04, 0.95), HedgePolicy.ofShare(0.02));
            assertEquals(1, HedgePolicy.ofShare(0.8).customerShare());
        }

        @ParameterizedTest
        @CsvSource({
            "-0.1, 0, 0, 0.9, share",
            "1.1, 0, 0, 0.9, share",
            "NaN, 0, 0, 0.9, share",
            "0, 2, 0, 0.9, serviceShare",
            "0, 0, -1, 0.9, customerShare",
            "0, 0, 0, 0.4, quantile",
            "0, 0, 0, 1, quantile"
        })
        void refusesOtherValues(double share, double service, double customer, double quantile, String name) {
            IllegalArgumentException e = assertThrows(
                    IllegalArgumentException.class, () -> new HedgePolicy(share, service, customer, quantile));
            assertTrue(e.getMessage().startsWith(name), e.getMessage());
        }
    }
}
