package io.hornbeamscale.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against entries that together send a server more requests than it takes, and against endless limits. */
class ServerRateLimitsTest {
    private static final OptionalDouble NONE = OptionalDouble.empty();

    private final ServerRateLimits limits = new ServerRateLimits("entry-0");

    @Nested
    class Limit {
        @Test
        void spacesTheRequestsOfTheOnlyEntry() {
            assertEquals(0, limits.waitMillis("s", 0));
            assertTrue(limits.responded("s", OptionalDouble.of(4), true, 0, 1_000));
            assertEquals(250, limits.waitMillis("s", 1_000));
            limits.take("s", 1_250);
            assertEquals(250, limits.waitMillis("s", 1_250));
            assertEquals(4, limits.requestsPerSecond("s"), 1e-9);
            assertEquals(0, limits.waitMillis("other", 1_250));
        }

        @Test
        void isSharedWithTheOtherEntries() {
            limits.setOtherEntries(List.of("entry-1", "entry-2"));
            limits.responded("s", OptionalDouble.of(6), true, 0, 0);
            assertEquals(2.5, limits.requestsPerSecond("s"), 1e-9);
            limits.setOtherEntries(List.of());
            assertEquals(6, limits.requestsPerSecond("s"), 0.1);
        }

        @Test
        void grantsNoBurstAfterAPause() {
            limits.responded("s", OptionalDouble.of(1), true, 0, 0);
            limits.take("s", 60_000);
            assertEquals(1_000, limits.waitMillis("s", 60_000));
        }

        @Test
        void thatIsRaisedShortensTheWait() {
            limits.responded("s", OptionalDouble.of(0), true, 0, 0);
            assertTrue(limits.waitMillis("s", 0) > 1_000);
            assertTrue(limits.responded("s", OptionalDouble.of(10), true, 0, 100));
            assertEquals(100, limits.waitMillis("s", 100));
            assertFalse(limits.responded("s", OptionalDouble.of(10), true, 0, 200));
        }
    }

    @Nested
    class End {
        @Test
        void followsASuccessWithoutALimitOfALaterRequest() {
            limits.responded("s", OptionalDouble.of(1), true, 0, 100);
            assertTrue(limits.responded("s", NONE, true, 150, 200));
            assertEquals(0, limits.waitMillis("s", 200));
        }

        @Test
        void doesNotFollowAnEarlierRequestOrAFailure() {
            limits.responded("s", OptionalDouble.of(1), true, 0, 100);
            assertFalse(limits.responded("s", NONE, true, 50, 200));
            assertFalse(limits.responded("s", NONE, false, 150, 200));
            assertTrue(limits.waitMillis("s", 200) > 0);
        }
    }

    @Nested
    class AllEntries {
        private static final long WINDOW_MILLIS = 4_000;
        private static final long GRACE_MILLIS = 4_000;
        private static final long DAY_MILLIS = 40_000;
        private static final double ALLOWED_FACTOR = 1.5;
        private static final int ALLOWED_EXTRA = 5;

        @ParameterizedTest
        @CsvSource({
            "1, 0.5",
            "1, 20",
            "4, 0.2",
            "4, 1",
            "4, 2.67",
            "4, 12",
            "33, 0.5",
            "33, 2.67",
            "33, 12",
            "100, 4",
            "360, 4"
        })
        void stayWithinTheLimitTogether(int count, double rate) {
            for (long seed = 1; seed <= 10; seed++) {
                int most = mostInAWindow(play(count, rate, seed));
                double allowed = ALLOWED_FACTOR * rate * WINDOW_MILLIS / 1_000 + ALLOWED_EXTRA;
                assertTrue(most <= allowed, "seed " + seed + ": " + most + " of " + allowed);
            }
        }

        /** Returns when the server gets requests, of entries that always have one to send, after the grace period. */
        private List<Long> play(int count, double rate, long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            List<ServerRateLimits> entries = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                entries.add(entry(i, count));
            }
            Set<Integer> informed = new HashSet<>();
            List<Long> arrivals = new ArrayList<>();
            for (long now = 0; now < DAY_MILLIS; now += 10) {
                for (int i = 0; i < count; i++) {
                    // Before it has a response, an entry sends about one request in a second.
                    boolean isSent =
                            informed.contains(i) ? entries.get(i).waitMillis("s", now) == 0 : random.nextInt(100) == 0;
                    if (!isSent) {
                        continue;
                    }
                    if (informed.contains(i) && now >= GRACE_MILLIS) {
                        arrivals.add(now);
                    }
                    entries.get(i).take("s", now);
                    entries.get(i).responded("s", OptionalDouble.of(rate), true, now, now);
                    informed.add(i);
                }
            }
            return arrivals;
        }

        private ServerRateLimits entry(int number, int count) {
            List<String> others = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                if (i != number) {
                    others.add("entry-" + i);
                }
            }
            ServerRateLimits entry = new ServerRateLimits("entry-" + number);
            entry.setOtherEntries(others);
            return entry;
        }

        private int mostInAWindow(List<Long> arrivals) {
            int most = 0;
            int first = 0;
            for (int last = 0; last < arrivals.size(); last++) {
                while (arrivals.get(last) - arrivals.get(first) >= WINDOW_MILLIS) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
            return most;
        }
    }
}
