package io.hornbeamscale.core.eligibility;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.limit.EntryRoster;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against more requests to a cold server than it bears over all entries, which crashes it, and against a cold
 * server that is left idle.
 */
class ColdServerLoadTest {
    private static final double OVERAGE = 1.5;
    private static final int SLACK = 5;
    private static final long WINDOW_MILLIS = 1_000;
    private static final long RUN_MILLIS = 20_000;
    private static final long STEP_MILLIS = 5;
    private static final long STORE_INTERVAL_MILLIS = 1_000;

    /** The share of the stated rate that must at least be used while all entries have enough requests. */
    private static final double MIN_USED_SHARE = 0.75;

    private final FleetServer server = EligibilityFixture.coldServer("cold", Long.MAX_VALUE);
    private final List<Long> sent = new ArrayList<>();

    private static List<ServerEligibility> entries(int count, double rate) {
        List<String> names =
                IntStream.range(0, count).mapToObj(i -> "edge-" + i).toList();
        return names.stream()
                .map(name -> {
                    ServerEligibility each = new EligibilityFixture(name, rate).eligibility;
                    each.setOtherEntries(names);
                    return each;
                })
                .toList();
    }

    /** Lets every entry send with some probability at each step, as far as its decision allows it. */
    private void run(List<ServerEligibility> entries, long fromMillis, long toMillis, double demand, Random random) {
        for (long now = fromMillis; now < toMillis; now += STEP_MILLIS) {
            for (ServerEligibility each : entries) {
                boolean isSent = random.nextDouble() < demand
                        && each.check(server, SendTerms.ANY, now).isAllowed();
                if (isSent) {
                    each.reserve(server, now);
                    sent.add(now);
                }
            }
        }
    }

    private void assertWithinRate(double rate) {
        long most = 0;
        int first = 0;
        for (int i = 0; i < sent.size(); i++) {
            while (sent.get(first) <= sent.get(i) - WINDOW_MILLIS) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        double allowed = OVERAGE * rate + SLACK;
        long found = most;
        assertTrue(most <= allowed, () -> found + " requests in a second, allowed are " + allowed);
    }

    @Nested
    class Rate {
        @ParameterizedTest
        @CsvSource({"1,2", "1,8", "1,40", "12,2", "12,8", "12,40", "25,2", "25,8", "25,40"})
        void isKeptAndUsedUnderAnyDemand(int count, double rate) {
            run(entries(count, rate), 0, RUN_MILLIS, 1, new Random(5));
            assertWithinRate(rate);
            assertTrue(sent.size() >= MIN_USED_SHARE * rate * RUN_MILLIS / 1_000, () -> sent.size() + " sent");
        }

        @ParameterizedTest
        @CsvSource({"12,2", "12,8", "25,2", "25,8", "25,40"})
        void isKeptInABurstAfterLittleDemand(int count, double rate) {
            for (int seed = 0; seed < 20; seed++) {
                sent.clear();
                Random random = new Random(seed);
                List<ServerEligibility> entries = entries(count, rate);
                run(entries, 0, RUN_MILLIS / 2, 0.01, random);
                run(entries, RUN_MILLIS / 2, RUN_MILLIS, 1, random);
                assertWithinRate(rate);
            }
        }

        /** Turns that entries did not use must not add up to a burst. */
        @ParameterizedTest
        @CsvSource({"12,2,60000", "25,2,20000", "25,2,60000", "25,4,60000", "25,8,60000"})
        void isKeptInABurstAfterAnIdleTime(int count, double rate, long idleMillis) {
            List<ServerEligibility> entries = entries(count, rate);
            run(entries, 0, STEP_MILLIS, 1, new Random(1));
            run(entries, idleMillis, idleMillis + RUN_MILLIS, 1, new Random(1));
            assertWithinRate(rate);
        }

        /** A store that is cut off loses the entries' registrations; each entry must not take the whole rate. */
        @Test
        void isKeptByEntriesThatHaveLostTheOthers() {
            double rate = 8;
            List<String> names =
                    IntStream.range(0, 12).mapToObj(i -> "edge-" + i).toList();
            List<ServerEligibility> entries = entries(12, rate);
            List<EntryRoster> rosters =
                    names.stream().map(n -> new EntryRoster()).toList();
            for (long now = 0; now < RUN_MILLIS; now += STORE_INTERVAL_MILLIS) {
                Set<String> registered = now < RUN_MILLIS / 4 ? Set.copyOf(names) : Set.of();
                for (int i = 0; i < entries.size(); i++) {
                    entries.get(i).setOtherEntries(rosters.get(i).update(registered, now));
                }
                run(entries, now, now + STORE_INTERVAL_MILLIS, 1, new Random(now));
            }
            assertWithinRate(rate);
        }

        /** A registration states the remaining time again and again; each must not grant a new first request. */
        @Test
        void isKeptWhileTheServerReportsAgainThatItIsCold() {
            double rate = 8;
            List<ServerEligibility> entries = entries(12, rate);
            for (long now = 0; now < RUN_MILLIS; now += 100) {
                for (ServerEligibility each : entries) {
                    each.coldReported(server, 5_000, now);
                }
                run(entries, now, now + 100, 1, new Random(now));
            }
            assertWithinRate(rate);
        }
    }
}
