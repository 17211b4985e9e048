package io.hornbeamscale.measure.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against wrong fits, from which the capacity page would be calculated. */
class LinearFitTest {
    @Nested
    class Fit {
        @Test
        void findsTheLineThroughItsPoints() {
            LinearFit fit = LinearFit.fit("heap", "bytes", List.of(10, 20, 40), List.of(130.0, 230.0, 430.0));
            assertEquals(10, fit.slope(), 1e-9);
            assertEquals(30, fit.intercept(), 1e-9);
            assertEquals(6030, fit.valueAt(600), 1e-9);
        }

        @Test
        void rejectsEqualSizes() {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> LinearFit.fit("heap", "bytes", List.of(5, 5), List.of(1.0, 2.0)));
        }
    }
}
