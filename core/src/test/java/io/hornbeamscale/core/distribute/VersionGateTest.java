package io.hornbeamscale.core.distribute;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a version that comes into force after a higher one was in force or is known to exist. */
class VersionGateTest {
    private final VersionGate gate = new VersionGate();

    @Test
    void admitsOnlyIncreasingVersions() {
        gate.open();
        assertTrue(gate.tryApply(3));
        assertFalse(gate.tryApply(3));
        assertFalse(gate.tryApply(2));
        assertTrue(gate.tryApply(7));
        assertEquals(7, gate.versionInForce());
        assertEquals(2, gate.rejected());
    }

    @Test
    void admitsNothingWhileClosedAndNothingBelowTheFloor() {
        assertFalse(gate.tryApply(3));
        gate.raiseFloor(5);
        gate.raiseFloor(4);
        gate.open();
        assertFalse(gate.tryApply(4));
        assertTrue(gate.tryApply(5));
    }
}
