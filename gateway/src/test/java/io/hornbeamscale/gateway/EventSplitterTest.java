package io.hornbeamscale.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against lost, repeated and partial events when a stream continues at another server. */
class EventSplitterTest {
    private static String event(long id) {
        return "id: " + id + "\ndata: e" + id + "\n\n";
    }

    private static String feed(EventSplitter splitter, String text) {
        byte[] out = splitter.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        return new String(out, StandardCharsets.UTF_8);
    }

    @Nested
    class Splitting {
        @Test
        void holdsBackAPartialEvent() {
            EventSplitter splitter = new EventSplitter(0);
            assertEquals(event(1), feed(splitter, event(1) + "id: 2\nda"));
            assertTrue(splitter.hasPartialEvent());
            assertEquals(1, splitter.lastId());
            assertEquals(event(2), feed(splitter, "ta: e2\n\n"));
            assertFalse(splitter.hasPartialEvent());
        }

        @Test
        void passesEventsWithoutIds() {
            assertEquals(": comment\n\n", feed(new EventSplitter(0), ": comment\n\n"));
        }

        @Test
        void acceptsCarriageReturns() {
            EventSplitter splitter = new EventSplitter(0);
            assertEquals("id: 1\r\ndata: x\r\n\r\n", feed(splitter, "id: 1\r\ndata: x\r\n\r\n"));
            assertEquals(1, splitter.lastId());
        }

        @Test
        void growsForLongEvents() {
            String text = "id: 1\ndata: " + "x".repeat(10_000) + "\n\n";
            assertEquals(text, feed(new EventSplitter(0), text));
        }
    }

    @Nested
    class Resuming {
        @Test
        void dropsEventsThatTheCallerHas() {
            EventSplitter splitter = new EventSplitter(2);
            assertEquals(event(3), feed(splitter, event(1) + event(2) + event(3)));
            assertFalse(splitter.hasGap());
        }

        @Test
        void dropsEventsThatTheFirstServerSentMeanwhile() {
            EventSplitter splitter = new EventSplitter(2);
            splitter.skipTo(4);
            assertEquals(event(5), feed(splitter, event(3) + event(4) + event(5)));
        }

        @Test
        void detectsAMissingEvent() {
            EventSplitter splitter = new EventSplitter(2);
            feed(splitter, event(4));
            assertTrue(splitter.hasGap());
        }
    }

    @Nested
    class Property {
        /**
         * Each event arrives once and in order, however the bytes are split and wherever the second server takes over.
         */
        @Test
        void eachEventArrivesOnceInOrder() {
            Random random = new Random(11);
            for (int round = 0; round < 300; round++) {
                int count = 1 + random.nextInt(40);
                int brokenAt = random.nextInt(count + 1);
                StringBuilder expected = new StringBuilder();
                StringBuilder first = new StringBuilder();
                for (int id = 1; id <= count; id++) {
                    expected.append(event(id));
                    if (id <= brokenAt) {
                        first.append(event(id));
                    }
                }
                EventSplitter firstSplitter = new EventSplitter(0);
                StringBuilder received = new StringBuilder();
                feedInPieces(first + "id: " + (brokenAt + 1) + "\nda", random, firstSplitter, received);
                int resumedAfter = Math.max(0, brokenAt - random.nextInt(3));
                EventSplitter secondSplitter = new EventSplitter(firstSplitter.lastId());
                StringBuilder rest = new StringBuilder();
                for (int id = resumedAfter + 1; id <= count; id++) {
                    rest.append(event(id));
                }
                feedInPieces(rest.toString(), random, secondSplitter, received);
                assertEquals(expected.toString(), received.toString(), "round " + round);
                assertFalse(secondSplitter.hasGap());
            }
        }

        private void feedInPieces(String text, Random random, EventSplitter splitter, StringBuilder received) {
            int at = 0;
            while (at < text.length()) {
                int end = Math.min(text.length(), at + 1 + random.nextInt(30));
                received.append(feed(splitter, text.substring(at, end)));
                at = end;
            }
        }
    }
}
