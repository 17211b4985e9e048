package io.hornbeamscale.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against defaults that leave nothing for the process itself, or that an ordinary client meets. */
class ClientLimitsTest {
    /** The deploy line and the smallest VM. */
    private final ClientLimits smallest = ClientLimits.ofProcess(96L << 20, 4_100);

    @Test
    void leaveHalfOfTheHeapAndAQuarterOfTheDescriptors() {
        assertEquals(48L << 20, smallest.heldBytes());
        assertEquals(3_075, smallest.connections());
    }

    @Test
    void areBoundedByTheHeapWhereDescriptorsArePlentiful() {
        assertEquals(6_144, ClientLimits.ofProcess(96L << 20, 1L << 40).connections());
    }

    @Test
    void holdTheGreatestBodyOfTheDocument() {
        assertTrue(0.7 * smallest.heldBytes() > 2 * 4_194_304);
    }

    @Test
    void giveWayToTheSettings() {
        assertEquals(new ClientLimits(8, 3_075), smallest.withSettings(8, 0));
        assertEquals(new ClientLimits(48L << 20, 9), smallest.withSettings(0, 9));
        assertThrows(IllegalArgumentException.class, () -> smallest.withSettings(-1, 0));
    }
}
