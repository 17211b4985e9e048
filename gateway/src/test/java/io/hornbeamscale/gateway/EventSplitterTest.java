package io.hornbeamscale.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against lost, repeated and partial events when a stream goes on at another server. */
class EventSplitterTest {
    private static String event(long id) {
        return "id: " + id + "\ndata: e" + id + "\n\n";
    }

    private static String feed(EventSplitter splitter, String text) {
        byte[] out = splitter.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        return new String(out, StandardCharsets.UTF_8);
    }

    @Nested
    class Cutting {
        @Test
        void keepsAPartBack() {
            EventSplitter splitter = new EventSplitter(0);
            assertEquals(event(1), feed(splitter, event(1) + "id: 2\nda"));
            assertTrue(splitter.hasPart());
            assertEquals(1, splitter.lastId());
            assertEquals(event(2), feed(splitter, "ta: e2\n\n"));
            assertFalse(splitter.hasPart());
        }

        @Test
        void passesEventsWithoutIds() {
            assertEquals(": comment\n\n", feed(new EventSplitter(0), ": comment\n\n"));
        }

        @Test
        void understandsCarriageReturns() {
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
    class Continuation {
        @Test
        void leavesOutWhatTheCallerHas() {
            EventSplitter splitter = new EventSplitter(2);
            assertEquals(event(3), feed(splitter, event(1) + event(2) + event(3)));
            assertFalse(splitter.hasGap());
        }

        @Test
        void skipsWhatArrivedMeanwhile() {
            EventSplitter splitter = new EventSplitter(2);
            splitter.skipTo(4);
            assertEquals(event(5), feed(splitter, event(3) + event(4) + event(5)));
        }

        @Test
        void noticesAMissingEvent() {
            EventSplitter splitter = new EventSplitter(2);
            feed(splitter, event(4));
            assertTrue(splitter.hasGap());
        }
    }

    @Nested
    class Property {
        /**
         * However the bytes are cut, and wherever the second server takes over, each event arrives once and in order.
         */
        @Test
        void eachEventArrivesOnceInOrder() {
            Random random = new Random(11);
            for (int round = 0; round < 300; round++) {
                int count = 1 + random.nextInt(40);
                int broken = random.nextInt(count + 1);
                StringBuilder all = new StringBuilder();
                StringBuilder first = new StringBuilder();
                for (int id = 1; id <= count; id++) {
                    all.append(event(id));
                    if (id <= broken) {
                        first.append(event(id));
                    }
                }
                EventSplitter one = new EventSplitter(0);
                StringBuilder got = new StringBuilder();
                pieces(first + "id: " + (broken + 1) + "\nda", random, one, got);
                int repeated = Math.max(0, broken - random.nextInt(3));
                EventSplitter two = new EventSplitter(one.lastId());
                StringBuilder rest = new StringBuilder();
                for (int id = repeated + 1; id <= count; id++) {
                    rest.append(event(id));
                }
                pieces(rest.toString(), random, two, got);
                assertEquals(all.toString(), got.toString(), "round " + round);
                assertFalse(two.hasGap());
            }
        }

        private void pieces(String text, Random random, EventSplitter splitter, StringBuilder got) {
            int at = 0;
            while (at < text.length()) {
                int end = Math.min(text.length(), at + 1 + random.nextInt(30));
                got.append(feed(splitter, text.substring(at, end)));
                at = end;
            }
        }
    }
}
