package io.hornbeamscale.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.fleet.ServerRegistration;
import io.hornbeamscale.core.fleet.ServerState;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against classifying a fast server as slow after a short load peak. */
class EventIntervalTrackerTest {
    private final EventIntervalTracker intervals = new EventIntervalTracker();

    private static FleetServer server(String id) {
        return new FleetServer(
                new ServerRegistration(id, 1, 1, "tales", new Endpoint("10.0.0.1", 80), "z", 24, false, 0),
                ServerState.READY,
                0);
    }

    @Nested
    class SlowdownFactor {
        private final List<FleetServer> all = List.of(server("a"), server("b"));

        @Test
        void isOneForAnUnknownServer() {
            intervals.observe("a", 30);
            assertEquals(1, intervals.slowdownFactor("b", all));
        }

        @Test
        void comparesWithTheFastest() {
            intervals.observe("a", 30);
            intervals.observe("b", 39);
            assertEquals(1.3, intervals.slowdownFactor("b", all), 1e-9);
            assertEquals(1, intervals.slowdownFactor("a", all), 1e-9);
        }

        /** Half of the values are up to 2.5 times as long because of prompts or noisy neighbors. */
        @Test
        void staysAccurateUnderNoise() {
            Random random = new Random(1);
            for (int i = 0; i < 300; i++) {
                intervals.observe("a", 30 * (random.nextBoolean() ? 1 : 1 + 1.5 * random.nextDouble()));
                intervals.observe("b", 39 * (random.nextBoolean() ? 1 : 1 + 1.5 * random.nextDouble()));
            }
            double factor = intervals.slowdownFactor("b", all);
            assertTrue(factor > 1.15 && factor < 1.45, "factor " + factor);
        }
    }

    @Nested
    class StatedWorkTime {
        private final List<FleetServer> all = List.of(server("a"), server("b"), server("c"));

        /** Noisy neighbors raise the stated time for moments; a server must not count as slow because of them. */
        @Test
        void keepsTheLowestValue() {
            intervals.workTimeStated("a", 100);
            intervals.workTimeStated("b", 325);
            intervals.workTimeStated("b", 130);
            intervals.workTimeStated("b", 325);
            assertEquals(1.3, intervals.slowdownFactor("b", all), 1e-9);
            assertEquals(1, intervals.slowdownFactor("a", all), 1e-9);
        }

        /** A server that was added a moment ago is empty and would get many long responses before it is known. */
        @Test
        void takesAnUnknownServerForAnAverageOne() {
            intervals.workTimeStated("a", 100);
            intervals.workTimeStated("b", 130);
            assertEquals(1.15, intervals.slowdownFactor("c", all), 1e-9);
        }

        @Test
        void isIgnoredIfItIsUnknownToAnotherEntry() {
            intervals.workTimeStated("a", 0);
            intervals.observe("b", 30);
            assertEquals(1, intervals.slowdownFactor("b", all), 1e-9);
        }

        @Test
        void endsWithTheServer() {
            intervals.workTimeStated("a", 100);
            intervals.forget("a");
            assertEquals(0, intervals.workPercent("a"));
        }
    }

    @Nested
    class PeerReport {
        /** Every disturbance raises an estimate, so the lowest estimate of all entries is the most accurate. */
        @Test
        void countsIfItIsLower() {
            intervals.peerReported("a", 50);
            intervals.peerReported("a", 40);
            intervals.peerReported("a", 45);
            assertEquals(40, intervals.intervalMillis("a"));
            intervals.observe("a", 30);
            intervals.peerReported("a", 35);
            assertEquals(30, intervals.intervalMillis("a"));
        }

        @Test
        void isIgnoredIfTheOtherEntryDoesNotKnow() {
            intervals.peerReported("b", 0);
            assertEquals(0, intervals.intervalMillis("b"));
        }

        @Test
        void isForgottenWithTheServer() {
            intervals.peerReported("a", 50);
            intervals.forget("a");
            assertEquals(0, intervals.intervalMillis("a"));
        }
    }
}
