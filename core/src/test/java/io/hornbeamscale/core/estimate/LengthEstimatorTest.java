package io.hornbeamscale.core.estimate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.work.WorkItem;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against wrong estimates for known kinds of work, and against a zero remainder for long responses. */
class LengthEstimatorTest {
    private static WorkItem work(String kind, String customer) {
        return new WorkItem(
                new RequestId("r"),
                new ServiceId("s"),
                new CustomerId(customer),
                kind,
                5,
                100,
                32_768,
                List.of(),
                0,
                1_000,
                true,
                false,
                false,
                "");
    }

    private static LengthEstimator learned() {
        LengthEstimator e = new LengthEstimator(400);
        Random random = new Random(1);
        for (int i = 0; i < 2_000; i++) {
            e.observe(work("short", "a"), 40 + random.nextInt(40));
            e.observe(work("long", "a"), 500 + random.nextInt(1_000));
        }
        return e;
    }

    @Test
    void kindsHaveSeparateEstimates() {
        LengthEstimator e = learned();
        assertEquals(60, e.distribution(work("short", "a")).mean(), 15);
        assertEquals(1_000, e.distribution(work("long", "a")).mean(), 150);
    }

    /** Guards against using the prior distribution for a new customer although its kind of work is known. */
    @Test
    void newCustomerUsesTheEstimateOfItsKind() {
        assertEquals(60, learned().distribution(work("short", "new")).mean(), 15);
    }

    /** Guards against granting memory because a long response is expected to end at any moment. */
    @Test
    void remainderGrowsBeyondObservedLengths() {
        LengthDistribution d = learned().distribution(work("long", "a"));
        double before = d.expectedRemaining(2_000, 0);
        assertTrue(before > 200, "remainder " + before);
        assertTrue(d.expectedRemaining(8_000, 0) > before);
        assertEquals(0, d.expectedRemaining(100, 100));
    }

    /** Guards against estimates that do not adapt when the lengths change. */
    @Test
    void oldLengthsDecay() {
        LengthEstimator e = learned();
        for (int i = 0; i < 6_000; i++) {
            e.observe(work("short", "a"), 600);
        }
        assertEquals(600, e.distribution(work("short", "a")).mean(), 60);
    }
}
