package io.hornbeamscale.measure.distribute;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against a version that is reverted or never reaches a node, and against load that grows too fast. */
class DistributeProgramTest {
    private static final int SCHEDULES = 150;

    @Test
    void faultSchedulesRevertNoVersion() {
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            FaultScheduleMeasurement.Result result = FaultScheduleMeasurement.run(seed);
            assertEquals(0, result.reversions(), "reversions with seed " + seed);
            assertEquals(0, result.wrongContents(), "wrong contents with seed " + seed);
            assertEquals(0, result.nodesBehind(), "nodes behind with seed " + seed);
        }
    }

    @Test
    void aChangeIsInForceEverywhereInTimeAndStoreCallsDoNotGrowWithTheNodes() {
        PropagationMeasurement.Result small = PropagationMeasurement.run(1, 10);
        PropagationMeasurement.Result large = PropagationMeasurement.run(1, 80);
        assertTrue(large.maxMillis() <= 17_000, "max " + large.maxMillis());
        assertTrue(large.storeCallsPerChange() <= small.storeCallsPerChange() + 2);
        assertTrue(large.idleBytesPerNodeSecond() <= 4_000);
    }

    /** Guards against load peaks on the store, which serves about 2,000 reads and several hundred writes/s in total. */
    @Test
    void storeLoadStaysLowOnStartAndRecovery() {
        RecoveryMeasurement.Result result = RecoveryMeasurement.run(1, 160);
        assertTrue(result.startPeakPerSecond() <= 2 * 160, "start peak " + result.startPeakPerSecond());
        assertTrue(result.recoveryPeakPerSecond() <= 20, "recovery peak " + result.recoveryPeakPerSecond());
        assertTrue(result.recoveryMillis() <= 17_000, "recovery " + result.recoveryMillis());
    }

    @Test
    void aLeavingBackendServerIsUnusedWithinThreeSeconds() {
        for (long seed = 1; seed <= 3; seed++) {
            assertTrue(MembershipMeasurement.run(seed, 80, true).millis() <= 3_000);
            assertTrue(MembershipMeasurement.run(seed, 80, false).millis() <= 3_000);
        }
    }

    @Test
    void theProgramIsDeterministic() {
        assertEquals(print(), print());
    }

    private static String print() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String[] args = {"--sizes", "10", "--seeds", "1", "--schedules", "3"};
        assertEquals(0, DistributeProgram.run(args, new PrintStream(bytes, true, StandardCharsets.UTF_8)));
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
