package io.hornbeamscale.core.id;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against streams that cannot be resumed because the generation id in an event id cannot be parsed. */
class GenerationIdTest {
    @Nested
    class Parse {
        @Test
        void restoresTheIdFromItsText() {
            GenerationId id = new GenerationId(new BackendId("runner-3"), 17, 42);
            assertEquals(id, GenerationId.parse(id.toString()));
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "runner-3", "runner-3.1", "runner-3.x.1", "a.b.1.2", "runner-3.-1.2", ".1.2"})
        void rejectsInvalidText(String text) {
            assertThrows(IllegalArgumentException.class, () -> GenerationId.parse(text));
        }
    }
}
