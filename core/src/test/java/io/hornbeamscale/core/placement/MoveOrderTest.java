package io.hornbeamscale.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against streams that are lost because the link was busy with streams that were about to end. */
class MoveOrderTest {
    private static final GenerationSize SIZE = new GenerationSize(3_000, 900);

    @Test
    void aLongRemainderGoesFirst() {
        assertEquals(0, MoveOrder.delayMillis(SIZE, 0));
        assertEquals(0, MoveOrder.delayMillis(SIZE, 600));
    }

    @Test
    void aShortRemainderWaitsForPartOfTheNotice() {
        long delay = MoveOrder.delayMillis(SIZE, 850);
        assertTrue(delay > 300 && delay < 1_500, "delay " + delay);
    }

    @Test
    void aStreamThatIsLongerThanExpectedGoesFirst() {
        assertEquals(0, MoveOrder.delayMillis(SIZE, 900));
        assertEquals(0, MoveOrder.delayMillis(SIZE, 2_000));
    }
}
