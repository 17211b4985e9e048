package io.hornbeamscale.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a passage that is not recognized in another prompt, and against work that grows with the prompt. */
class PromptPassagesTest {
    private static final String PASSAGE = "A passage that is long enough to compare.";

    @Nested
    class Passage {
        @Test
        void isRecognizedWhereverItStands() {
            assertEquals(
                    PromptPassages.of("m", PASSAGE + "\n\nfirst question").get(0),
                    PromptPassages.of("m", "Another passage before it, also long enough.\r\n \t\r\n" + PASSAGE + "\n")
                            .get(1));
        }

        @Test
        void mayHaveSeveralLines() {
            assertEquals(1, PromptPassages.of("m", PASSAGE + "\r\n" + PASSAGE).size());
        }

        @Test
        void ofAnotherModelIsDifferent() {
            assertNotEquals(PromptPassages.of("m", PASSAGE), PromptPassages.of("n", PASSAGE));
        }

        @Test
        void isIgnoredIfItIsShort() {
            assertEquals(1, PromptPassages.of("m", "Hello\n\n" + PASSAGE).size());
        }
    }

    @Nested
    class Prompt {
        @Test
        void isComparedUpToALimit() {
            StringBuilder prompt = new StringBuilder();
            for (int i = 0; i < 100; i++) {
                prompt.append(PASSAGE).append(i).append("\n\n");
            }
            assertEquals(32, PromptPassages.of("m", prompt.toString()).size());
        }
    }
}
