package io.hornbeamscale.measure.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a capacity page worked out from a wrong line. */
class SlopeTest {
    @Nested
    class Fit {
        @Test
        void findsTheLineThroughItsPoints() {
            Slope slope = Slope.fit("heap", "bytes", List.of(10, 20, 40), List.of(130.0, 230.0, 430.0));
            assertEquals(10, slope.perUnit(), 1e-9);
            assertEquals(30, slope.base(), 1e-9);
            assertEquals(6030, slope.at(600), 1e-9);
        }

        @Test
        void rejectsEqualSizes() {
            assertThrows(
                    IllegalArgumentException.class, () -> Slope.fit("heap", "bytes", List.of(5, 5), List.of(1.0, 2.0)));
        }
    }
}
