package io.hornbeamscale.core.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GenerationId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against event ids that change when a caller sends them back, and against malformed ids that are accepted. */
class EventIdTest {
    @Nested
    class Parse {
        @Test
        void returnsTheIdOfItsTextForm() {
            EventId id = new EventId(new GenerationId(new BackendId("runner-3"), 17, 42), 1009);
            assertEquals(id, EventId.parse(id.toString()));
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "7", "runner-3.1.1", "runner-3.1.1:", "runner-3.1.1:-1", "runner-3.1:4", ":4"})
        void rejectsOtherText(String text) {
            assertThrows(IllegalArgumentException.class, () -> EventId.parse(text));
        }
    }
}
