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

/** Guards against a fast server that counts as slow after a busy moment. */
class EventIntervalTrackerTest {
    private final EventIntervalTracker pace = new EventIntervalTracker();

    private static FleetServer server(String id) {
        return new FleetServer(
                new ServerRegistration(id, 1, 1, "tales", new Endpoint("10.0.0.1", 80), "z", 24, false, 0),
                ServerState.READY,
                0);
    }

    @Nested
    class Factor {
        private final List<FleetServer> all = List.of(server("a"), server("b"));

        @Test
        void isOneForAnUnknownServer() {
            pace.observe("a", 30);
            assertEquals(1, pace.slowdownFactor("b", all));
        }

        @Test
        void comparesWithTheFastest() {
            pace.observe("a", 30);
            pace.observe("b", 39);
            assertEquals(1.3, pace.slowdownFactor("b", all), 1e-9);
            assertEquals(1, pace.slowdownFactor("a", all), 1e-9);
        }

        /** Half of the values are stretched by prompts or neighbours by up to 2.5 times. */
        @Test
        void staysRightUnderNoise() {
            Random random = new Random(1);
            for (int i = 0; i < 300; i++) {
                pace.observe("a", 30 * (random.nextBoolean() ? 1 : 1 + 1.5 * random.nextDouble()));
                pace.observe("b", 39 * (random.nextBoolean() ? 1 : 1 + 1.5 * random.nextDouble()));
            }
            double factor = pace.slowdownFactor("b", all);
            assertTrue(factor > 1.15 && factor < 1.45, "factor " + factor);
        }
    }

    @Nested
    class Told {
        /** Every disturbance makes an estimate too high, so that the lowest of all entries is the best one. */
        @Test
        void countsIfItIsLower() {
            pace.peerReported("a", 50);
            pace.peerReported("a", 40);
            pace.peerReported("a", 45);
            assertEquals(40, pace.intervalMillis("a"));
            pace.observe("a", 30);
            pace.peerReported("a", 35);
            assertEquals(30, pace.intervalMillis("a"));
        }

        @Test
        void isIgnoredIfTheOtherEntryDoesNotKnow() {
            pace.peerReported("b", 0);
            assertEquals(0, pace.intervalMillis("b"));
        }

        @Test
        void isForgottenWithTheServer() {
            pace.peerReported("a", 50);
            pace.forget("a");
            assertEquals(0, pace.intervalMillis("a"));
        }
    }
}
