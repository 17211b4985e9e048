package io.hornbeamscale.core.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against interleavings of faults that violate a guarantee of the system, and against a harness that does not
 * detect violations.
 */
class FaultHarnessTest {
    private static final long SEEDS = Long.getLong("faults.seeds", 100_000);

    @Nested
    class Interleavings {
        @Test
        void violateNoGuarantee() {
            RunStatistics statistics = FaultRun.run(1, SEEDS, Defect.NONE, EnumSet.allOf(FaultKind.class));
            System.out.print(statistics);
            assertEquals(SEEDS, statistics.runs);
            assertEquals(0, statistics.violations());
            for (FaultKind fault : FaultKind.values()) {
                assertTrue(statistics.injected(fault) > SEEDS / 100, "too few injected faults of kind " + fault);
            }
        }

        /** Seeds that led to a violation before a fix. */
        @ParameterizedTest
        @ValueSource(longs = {3443})
        void violateNothingWithFormerlyFailingSeeds(long seed) {
            assertEquals(List.of(), new FaultSimulation(seed, Defect.NONE, EnumSet.allOf(FaultKind.class)).run());
        }
    }

    /**
     * Runs the daemons' controllers, which are composed of the controllers that the harness otherwise runs directly.
     */
    @Nested
    class ComposedControllers {
        private static final long COMPOSED_SEEDS = 20_000;

        private RunStatistics run(long firstSeed, long count) {
            return FaultRun.run(
                    firstSeed, count, seed -> new FaultSimulation(seed, Defect.NONE, FaultRun.COMPOSED, true));
        }

        @Test
        void executeNothingTwiceAndReportCorrectOutcomes() {
            RunStatistics statistics = run(1, COMPOSED_SEEDS);
            System.out.print(statistics);
            assertEquals(statistics.violations("ENDS"), statistics.violations());
        }

        /**
         * Seeds with which a call never ended: the refusal of a lost reservation dropped the call that was handed over.
         */
        @ParameterizedTest
        @ValueSource(longs = {721, 749, 1118, 2095, 2482})
        void endEveryCall(long seed) {
            assertEquals(0, run(seed, 1).violations());
        }
    }

    @Nested
    class Availability {
        /** Calls that need no claim must be served whatever the state of the store. */
        @ParameterizedTest
        @EnumSource(
                value = FaultKind.class,
                names = {"STORE_DOWN", "STORE_SLOW", "STORE_REPLY_LOST", "STORE_WRITE_LATE"})
        void ofCallsWithoutAClaimDoesNotDependOnTheStore(FaultKind fault) {
            RunStatistics statistics = FaultRun.run(1, 1_000, Defect.NONE, EnumSet.of(fault));
            assertEquals(0, statistics.violations());
            for (CallKind kind : CallKind.values()) {
                if (kind != CallKind.KEYED) {
                    assertEquals(0, statistics.notServed(fault, kind), kind + " during " + fault);
                }
            }
        }

        /** An old frame could hide that the resumption of a stream was lost, which delayed a response by 130 s. */
        @Test
        void recoversSoonAfterOldFrames() {
            RunStatistics statistics = FaultRun.run(1, 2_000, Defect.NONE, EnumSet.of(FaultKind.OLD_FRAMES));
            assertEquals(0, statistics.violations());
            for (CallKind kind : CallKind.values()) {
                assertTrue(statistics.slowestMillis(FaultKind.OLD_FRAMES, kind) < 10_000, kind.name());
            }
        }

        /** A region that cannot reach the store must still serve calls that need no claim. */
        @Test
        void isKeptWithoutTheLinkBetweenRegions() {
            RunStatistics statistics = FaultRun.run(1, 1_000, Defect.NONE, EnumSet.of(FaultKind.REGION_CUT_OFF));
            assertEquals(0, statistics.violations());
            for (CallKind kind : List.of(CallKind.WHOLE, CallKind.STREAM_OR_RESTART, CallKind.READ)) {
                assertEquals(0, statistics.notServed(FaultKind.REGION_CUT_OFF, kind), kind.name());
            }
        }
    }

    @Nested
    class DefectiveControllers {
        private static final int MAX_SEEDS = 5_000;

        @ParameterizedTest
        @CsvSource({
            "CLAIM_NOT_WRITTEN, AT_MOST_ONCE",
            "CLAIM_TAKEN_OVER, AT_MOST_ONCE",
            "GRANT_NOT_CHECKED, AT_MOST_ONCE",
            "PROMISE_NOT_KEPT, AT_MOST_ONCE",
            "LINK_LOSS_IS_NOT_RUN, NOT_RUN",
            "OFFSET_NOT_CHECKED, STREAM",
            "GENERATION_NOT_CHECKED, STREAM",
            "RESPONSES_IN_ORDER, RESPONSE",
            "DRAIN_IGNORED, DRAIN",
            "DRAIN_TRUNCATES, GRACEFUL_STOP",
            "QUARANTINE_IGNORED, QUARANTINE",
            "FENCE_FORGOTTEN, FENCE",
        })
        void areReported(Defect defect, String invariant) {
            TreeSet<String> violated = new TreeSet<>();
            for (long seed = 1; seed <= MAX_SEEDS; seed++) {
                for (String violation : new FaultSimulation(seed, defect, EnumSet.allOf(FaultKind.class)).run()) {
                    violated.add(violation.substring(0, violation.indexOf(':')));
                }
                if (violated.contains(invariant)) {
                    System.out.println(defect + ": " + invariant + " violated with seed " + seed);
                    return;
                }
            }
            throw new AssertionError(defect + " led to " + violated + " instead of " + invariant);
        }
    }
}
