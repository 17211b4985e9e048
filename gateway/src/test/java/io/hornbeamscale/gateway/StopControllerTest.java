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

/**
 * Guards against responses that are cut off when the process exits, and against a process that does not exit before it
 * is killed.
 */
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
                new CallerRequestHead(
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
        void acceptsEveryRequestAndDoesNotExit() {
            assertFalse(stop.isRefused(request(RequestKind.STREAMING, 2_000, 0)));
            assertFalse(stop.isReadyToExit(0, Long.MAX_VALUE / 2));
        }
    }

    @Nested
    class AfterTheStop {
        @Test
        void acceptsShortRequests() {
            stop.stop(1_000);
            assertFalse(stop.isRefused(request(RequestKind.NON_IDEMPOTENT, 0, 2_000)));
            assertFalse(stop.isRefused(request(RequestKind.STREAMING, 12, 2_000)));
        }

        @Test
        void refusesLongStreams() {
            stop.stop(1_000);
            assertTrue(stop.isRefused(request(RequestKind.STREAMING, 944, 1_001)));
        }

        /**
         * A stream that was accepted 3.6 s after the stop because of its short length hint was cut off when the process
         * exited.
         */
        @Test
        void refusesStreamsWhoseGreatestLengthIsTooLong() {
            stop.stop(0);
            assertTrue(stop.isRefused(request(RequestKind.STREAMING, 2_224, 100, 3_600)));
        }

        @Test
        void refusesRequestsThatOutlastTheGracePeriod() {
            stop.stop(1_000);
            assertTrue(stop.isRefused(request(RequestKind.NON_IDEMPOTENT, 0, 1_000 + GRACE_MILLIS - 750)));
        }

        @Test
        void usesAChangedGracePeriod() {
            stop.setGrace(20_000);
            stop.stop(0);
            assertFalse(stop.isRefused(request(RequestKind.STREAMING, 944, 1)));
        }
    }

    @Nested
    class Exit {
        @Test
        void comesBeforeTheGracePeriodEndsEvenIfRequestsRun() {
            stop.stop(0);
            assertFalse(stop.isReadyToExit(3, GRACE_MILLIS - 1_000));
            assertTrue(stop.isReadyToExit(3, GRACE_MILLIS - 500));
        }

        /**
         * Callers keep connections open and the load balancer needs two failed checks, so requests still arrive at an
         * idle process.
         */
        @Test
        void waitsForLateRequestsIfNoneIsInProgress() {
            stop.stop(0);
            assertFalse(stop.isReadyToExit(0, 2_500));
            assertTrue(stop.isReadyToExit(0, 4_000));
        }
    }
}
