package io.hornbeamscale.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards against generations whose memory need is underestimated, so that engines run out of memory. */
class GenerationSizeTest {
    private static final GenerationSize SIZE = new GenerationSize(3_000, 900);

    @Test
    void countsPromptAndResponse() {
        assertEquals(3_900, SIZE.totalTokens());
        assertEquals(new ServerLoad(1, 3_900, 3_000, 3_000), SIZE.load());
    }

    @Test
    void negativeSizesAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new GenerationSize(-1, 0));
        assertThrows(IllegalArgumentException.class, () -> new GenerationSize(0, -1));
    }
}
