package io.hornbeamscale.core.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against repeats that displace first attempts, and against punctual callers that are taken for them. */
class RepeatDetectorTest {
    private static final RepeatDetector.Key KEY = new RepeatDetector.Key("a", "chat", 42);

    private final RepeatDetector detector = new RepeatDetector();

    @Test
    void recognizesARepeatBeforeItsTime() {
        detector.refused(KEY, 1_000, 0);
        assertTrue(detector.isRepeat(KEY, 10));
        assertTrue(detector.isRepeat(KEY, 499));
    }

    @Test
    void acceptsACallerThatFollows() {
        detector.refused(KEY, 1_000, 0);
        assertFalse(detector.isRepeat(KEY, 900));
    }

    @Test
    void acceptsOtherRequests() {
        detector.refused(KEY, 1_000, 0);
        assertFalse(detector.isRepeat(new RepeatDetector.Key("a", "chat", 43), 10));
        assertFalse(detector.isRepeat(new RepeatDetector.Key("b", "chat", 42), 10));
    }

    @Test
    void forgetsTheOldestOfVeryManyRefusals() {
        detector.refused(KEY, 1_000, 0);
        for (int i = 0; i < 2_000; i++) {
            detector.refused(new RepeatDetector.Key("b", "chat", i), 1_000, 0);
        }
        assertFalse(detector.isRepeat(KEY, 10));
    }
}
