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

/** Guards against interleavings of faults that break a guarantee, and against a harness that cannot see it. */
class FaultHarnessTest {
    private static final long SEEDS = Long.getLong("faults.seeds", 100_000);

    @Nested
    class Interleavings {
        @Test
        void breakNoGuarantee() {
            Figures figures = FaultRun.run(1, SEEDS, Defect.NONE, EnumSet.allOf(Fault.class));
            System.out.print(figures);
            assertEquals(SEEDS, figures.runs);
            assertEquals(0, figures.violations());
            for (Fault fault : Fault.values()) {
                assertTrue(figures.injected(fault) > SEEDS / 100, "too few of " + fault);
            }
        }

        /** Seeds that once ended in a violation. */
        @ParameterizedTest
        @ValueSource(longs = {3443})
        void stayRepaired(long seed) {
            assertEquals(List.of(), new Simulation(seed, Defect.NONE, EnumSet.allOf(Fault.class)).run());
        }
    }

    @Nested
    class Availability {
        /** Calls that need no claim must not notice the store. */
        @ParameterizedTest
        @EnumSource(
                value = Fault.class,
                names = {"STORE_DOWN", "STORE_SLOW", "STORE_REPLY_LOST", "STORE_WRITE_LATE"})
        void ofCallsWithoutAClaimDoesNotDependOnTheStore(Fault fault) {
            Figures figures = FaultRun.run(1, 1_000, Defect.NONE, EnumSet.of(fault));
            assertEquals(0, figures.violations());
            for (CallKind kind : CallKind.values()) {
                if (kind != CallKind.KEYED) {
                    assertEquals(0, figures.notServed(fault, kind), kind + " during " + fault);
                }
            }
        }

        /** A region without the store still serves what needs no claim. */
        @Test
        void survivesTheLossOfTheLinkBetweenRegions() {
            Figures figures = FaultRun.run(1, 1_000, Defect.NONE, EnumSet.of(Fault.REGION_CUT_OFF));
            assertEquals(0, figures.violations());
            for (CallKind kind : List.of(CallKind.WHOLE, CallKind.STREAM_OR_RESTART, CallKind.READ)) {
                assertEquals(0, figures.notServed(Fault.REGION_CUT_OFF, kind), kind.name());
            }
        }
    }

    @Nested
    class BrokenControllers {
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
            TreeSet<String> seen = new TreeSet<>();
            for (long seed = 1; seed <= MAX_SEEDS; seed++) {
                for (String violation : new Simulation(seed, defect, EnumSet.allOf(Fault.class)).run()) {
                    seen.add(violation.substring(0, violation.indexOf(':')));
                }
                if (seen.contains(invariant)) {
                    System.out.println(defect + ": " + invariant + " violated with seed " + seed);
                    return;
                }
            }
            throw new AssertionError(defect + " led to " + seen + " instead of " + invariant);
        }
    }
}
