package io.hornbeamscale.external;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against nodes that retry at the same time after an outage, and against pauses that grow without bound. */
class CallPolicyTest {
    @Test
    void pausesAreBoundedAndJittered() {
        CallPolicy policy = new CallPolicy(100, 1_000, 10, 400);
        Random random = new Random(1);
        Set<Long> boundedPauses = new HashSet<>();
        for (int failures = 1; failures < 200; failures++) {
            long pause = policy.retryPauseMillis(failures, random);
            assertTrue(pause >= 5 && pause <= 400, "pause " + pause);
            boundedPauses.add(policy.retryPauseMillis(20, random));
        }
        assertTrue(boundedPauses.size() > 100);
        assertTrue(boundedPauses.stream().allMatch(p -> p >= 200));
    }
}
