package io.hornbeamscale.measure.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.document.DocumentValidator;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a document of the target size that is invalid or too large for the store. */
class DocumentCommandTest {
    @Nested
    class TargetSize {
        @Test
        void isValidAndFits() {
            String text = DocumentJson.canonical(SampleDocuments.of(500, 600));
            assertEquals(List.of(), DocumentValidator.validate(SampleDocuments.of(500, 600)));
            assertTrue(text.getBytes(StandardCharsets.UTF_8).length < DocumentValidator.MAX_DOCUMENT_BYTES);
        }
    }
}
