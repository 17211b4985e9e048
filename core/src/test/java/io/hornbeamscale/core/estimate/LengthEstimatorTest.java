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

/** Guards against estimates that are wrong for known kinds of work, and that run out for long responses. */
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
    void kindsAreToldApart() {
        LengthEstimator e = learned();
        assertEquals(60, e.distribution(work("short", "a")).mean(), 15);
        assertEquals(1_000, e.distribution(work("long", "a")).mean(), 150);
    }

    /** Guards against a new customer that starts from the prior although its kind of work is known. */
    @Test
    void newCustomerUsesTheEstimateOfItsKind() {
        assertEquals(60, learned().distribution(work("short", "new")).mean(), 15);
    }

    /** Guards against memory that is promised because a long response seems to end at any moment. */
    @Test
    void remainderGrowsBeyondWhatWasSeen() {
        LengthDistribution c = learned().distribution(work("long", "a"));
        double before = c.expectedRemaining(2_000, 0);
        assertTrue(before > 200, "remainder " + before);
        assertTrue(c.expectedRemaining(8_000, 0) > before);
        assertEquals(0, c.expectedRemaining(100, 100));
    }

    /** Guards against estimates that keep following work that is no longer sent. */
    @Test
    void oldLengthsLoseWeight() {
        LengthEstimator e = learned();
        for (int i = 0; i < 6_000; i++) {
            e.observe(work("short", "a"), 600);
        }
        assertEquals(600, e.distribution(work("short", "a")).mean(), 60);
    }
}
