package io.hornbeamscale.gateway;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.route.EngineSpec;
import io.hornbeamscale.core.route.RequestKind;
import io.hornbeamscale.core.route.Route;
import io.hornbeamscale.core.route.RoutedService;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against responses that the end of the process cuts off and against a process that lingers until its kill. */
class StopControllerTest {
    private static final long GRACE_MILLIS = 8_000;
    private static final EngineSpec ENGINE = new EngineSpec(24, 34_377, 163_840, 24_000, true, true, 4);

    private final StopController stop = new StopController(GRACE_MILLIS);

    private static RelayRequest request(RequestKind kind, long tokens, long arrivedAtMillis) {
        return request(kind, tokens, tokens, arrivedAtMillis);
    }

    private static RelayRequest request(RequestKind kind, long maxTokens, long hintedTokens, long arrivedAtMillis) {
        boolean isStream = kind == RequestKind.STREAMING;
        return new RelayRequest(
                new CallerHead(
                        Optional.of("r1"),
                        Optional.empty(),
                        0,
                        300,
                        maxTokens,
                        hintedTokens,
                        List.of(),
                        Optional.empty()),
                new Route(
                        "r",
                        "shop.example",
                        "/",
                        kind,
                        List.of(new Route.Target("s", 1)),
                        30_000,
                        isStream ? 1_500 : 200,
                        180,
                        1,
                        1,
                        false),
                Optional.empty(),
                new RoutedService("s", 10, isStream ? Optional.of(ENGINE) : Optional.empty()),
                "POST",
                "/",
                new HeaderMap(),
                ByteBuffer.allocate(0),
                false,
                1,
                arrivedAtMillis,
                arrivedAtMillis + 30_000);
    }

    @Nested
    class BeforeTheStop {
        @Test
        void everythingIsTakenAndTheProcessGoesOn() {
            assertFalse(stop.isRefused(request(RequestKind.STREAMING, 2_000, 0)));
            assertFalse(stop.isOver(0, Long.MAX_VALUE / 2));
        }
    }

    @Nested
    class AfterTheStop {
        @Test
        void shortRequestsOfLateConnectionsAreStillAnswered() {
            stop.stop(1_000);
            assertFalse(stop.isRefused(request(RequestKind.NON_IDEMPOTENT, 0, 2_000)));
            assertFalse(stop.isRefused(request(RequestKind.STREAMING, 12, 2_000)));
        }

        @Test
        void longStreamsAreRefusedAtOnce() {
            stop.stop(1_000);
            assertTrue(stop.isRefused(request(RequestKind.STREAMING, 944, 1_001)));
        }

        /** A stream that was taken 3.6 s after the stop, by its hint, was cut off by the end of the process. */
        @Test
        void streamsAreRefusedThatMayBecomeLongerThanTheirHint() {
            stop.stop(0);
            assertTrue(stop.isRefused(request(RequestKind.STREAMING, 2_224, 100, 3_600)));
        }

        @Test
        void nothingIsTakenThatTheGraceDoesNotCover() {
            stop.stop(1_000);
            assertTrue(stop.isRefused(request(RequestKind.NON_IDEMPOTENT, 0, 1_000 + GRACE_MILLIS - 750)));
        }

        @Test
        void aNewGraceCounts() {
            stop.setGrace(20_000);
            stop.stop(0);
            assertFalse(stop.isRefused(request(RequestKind.STREAMING, 944, 1)));
        }
    }

    @Nested
    class TheEnd {
        @Test
        void comesBeforeTheGraceIsOverEvenIfRequestsRun() {
            stop.stop(0);
            assertFalse(stop.isOver(3, GRACE_MILLIS - 1_000));
            assertTrue(stop.isOver(3, GRACE_MILLIS - 500));
        }

        /** Callers keep connections open and the balancer needs two missed checks, so an idle process stays a while. */
        @Test
        void waitsForLateRequestsAlthoughNothingRuns() {
            stop.stop(0);
            assertFalse(stop.isOver(0, 2_500));
            assertTrue(stop.isOver(0, 4_000));
        }
    }
}
