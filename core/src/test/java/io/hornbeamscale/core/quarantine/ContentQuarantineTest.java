package io.hornbeamscale.core.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against content that crashes one engine after the other in different requests, and against blaming others. */
class ContentQuarantineTest {
    private static final RequestFingerprint SHARED = RequestFingerprint.ofContent("part", "shared");
    private static final RequestFingerprint CRASHING = RequestFingerprint.ofContent("part", "crashing");
    private static final RequestFingerprint RARE = RequestFingerprint.ofContent("part", "rare");

    private final QuarantineController controller = new QuarantineController(600_000, 0, new SplittableRandom(1));
    private int crashes;

    private void crash(long now, List<RequestFingerprint> begun, List<RequestFingerprint> waiting) {
        controller.contentCrashed(new ContentCrashReport("crash-" + ++crashes, begun, waiting), now);
    }

    private boolean isQuarantined(RequestFingerprint content, long now) {
        return controller.check(content, now) == QuarantineStatus.QUARANTINED;
    }

    @Nested
    class Crashes {
        @Test
        void quarantineTheMoreSpecificOfTwoPartsThatAlwaysAppearTogether() {
            for (long now = 0; now < 3_000; now += 1_000) {
                crash(now, List.of(SHARED, CRASHING), List.of());
            }
            assertTrue(isQuarantined(CRASHING, 3_000));
            assertFalse(isQuarantined(SHARED, 3_000));
        }

        @Test
        void quarantineTheGeneralPartIfOtherRequestsWithItGoOnCrashing() {
            for (long now = 0; now < 3_000; now += 1_000) {
                crash(now, List.of(CRASHING, RARE), List.of());
            }
            assertFalse(isQuarantined(CRASHING, 3_000));
            crash(4_000, List.of(CRASHING), List.of());
            assertTrue(isQuarantined(CRASHING, 4_000));
        }

        @Test
        void atTheSameTimeCountOnce() {
            for (int i = 0; i < 8; i++) {
                crash(100 + i, List.of(SHARED), List.of());
            }
            assertFalse(isQuarantined(SHARED, 200));
        }

        @Test
        void doNotBlameWaitingRequestsIfAnotherHadBegun() {
            for (long now = 0; now < 3_000; now += 1_000) {
                crash(now, List.of(CRASHING), List.of(RARE));
            }
            assertTrue(isQuarantined(CRASHING, 3_000));
            assertFalse(isQuarantined(RARE, 3_000));
        }

        @Test
        void blameWaitingRequestsIfNoneHadBegun() {
            for (long now = 0; now < 3_000; now += 1_000) {
                crash(now, List.of(), List.of(CRASHING));
            }
            assertTrue(isQuarantined(CRASHING, 3_000));
        }

        @Test
        void thatQuarantinedContentExplainsDoNotBlameOthers() {
            for (long now = 0; now < 3_000; now += 1_000) {
                crash(now, List.of(CRASHING), List.of());
            }
            for (long now = 3_000; now < 9_000; now += 1_000) {
                crash(now, List.of(CRASHING, RARE), List.of());
            }
            assertFalse(isQuarantined(RARE, 9_000));
        }

        @Test
        void reportedBySeveralEntriesAddUp() {
            for (long now = 0; now < 3_000; now += 1_000) {
                controller.contentCrashed(new ContentCrashReport("c" + now, List.of(), List.of(RARE)), now);
                controller.peerReported(
                        new QuarantineUpdate(
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(new ContentCrashReport("c" + now, List.of(CRASHING), List.of()))),
                        now + 50);
            }
            assertTrue(isQuarantined(CRASHING, 3_000));
            assertFalse(isQuarantined(RARE, 3_000));
        }
    }

    @Nested
    class Success {
        @Test
        void refutesEarlierCrashes() {
            crash(0, List.of(SHARED), List.of());
            crash(1_000, List.of(SHARED), List.of());
            controller.contentSucceeded(List.of(SHARED), 1_500);
            crash(2_000, List.of(SHARED), List.of());
            crash(3_000, List.of(SHARED), List.of());
            assertFalse(isQuarantined(SHARED, 4_000));
            crash(5_000, List.of(SHARED), List.of());
            assertTrue(isQuarantined(SHARED, 6_000));
        }

        @Test
        void isReportedToTheOtherEntriesOnlyIfTheContentWasSuspected() {
            assertEquals(List.of(), controller.contentSucceeded(List.of(SHARED), 0));
            crash(1_000, List.of(SHARED, RARE), List.of());
            assertEquals(
                    List.of(new QuarantineAction.SendPeers(
                            new QuarantineUpdate(List.of(), List.of(SHARED), List.of(), List.of()))),
                    controller.contentSucceeded(List.of(SHARED), 1_500));
            assertEquals(List.of(), controller.contentSucceeded(List.of(SHARED), 2_000));
        }

        @Test
        void atAnotherEntryRefutesEarlierCrashes() {
            crash(0, List.of(SHARED), List.of());
            crash(1_000, List.of(SHARED), List.of());
            controller.peerReported(new QuarantineUpdate(List.of(), List.of(SHARED), List.of(), List.of()), 1_500);
            crash(2_000, List.of(SHARED), List.of());
            assertFalse(isQuarantined(SHARED, 3_000));
        }
    }

    /** Plays days on which one part of the prompt crashes each engine that begins to respond to it. */
    @Nested
    class Days {
        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void withACrashingPartQuarantineItInTimeAndNothingElse(boolean isFirstPart) {
            for (long seed = 1; seed <= 100; seed++) {
                ContentCrashSimulation day = new ContentCrashSimulation(seed, isFirstPart);
                day.run();
                assertTrue(
                        day.sentAfterBound() <= ContentCrashSimulation.ALLOWED_AFTER_BOUND,
                        "seed " + seed + ": " + day.sentAfterBound() + " requests too late, " + day.crashes()
                                + " crashes");
                assertEquals(List.of(), day.wronglyQuarantined(), "seed " + seed);
            }
        }
    }
}
