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

    private static RelayRequest request(RequestKind kind, long tokens, long limitMillis, long arrivedAtMillis) {
        return request(kind, tokens, tokens, limitMillis, arrivedAtMillis);
    }

    private static RelayRequest request(
            RequestKind kind, long maxTokens, long hintedTokens, long limitMillis, long arrivedAtMillis) {
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
                arrivedAtMillis + limitMillis);
    }

    @Nested
    class BeforeTheStop {
        @Test
        void acceptsEveryRequestAndDoesNotExit() {
            assertFalse(stop.isRefused(request(RequestKind.STREAMING, 2_000, 30_000, 0)));
            assertFalse(stop.isReadyToExit(0, Long.MAX_VALUE / 2));
        }
    }

    @Nested
    class AfterTheStop {
        @Test
        void acceptsRequestsWhoseTimeLimitPassesBeforeTheExit() {
            stop.stop(1_000);
            assertFalse(stop.isRefused(request(RequestKind.NON_IDEMPOTENT, 0, 2_000, 2_000)));
            assertFalse(stop.isRefused(request(RequestKind.STREAMING, 12, 6_000, 2_000)));
        }

        /**
         * Bookings with a latency target of 200 ms, a time limit of 2,000 ms and a server that needs 700 ms were
         * accepted 6.7 s after the stop and cut off by the exit 600 ms later.
         */
        @Test
        void refusesShortRequestsWhoseTimeLimitPassesAfterTheExit() {
            stop.stop(0);
            assertTrue(stop.isRefused(request(RequestKind.NON_IDEMPOTENT, 0, 2_000, 6_200)));
            assertTrue(stop.isRefused(request(RequestKind.STREAMING, 12, 6_000, 2_000)));
        }

        @Test
        void refusesLongStreams() {
            stop.stop(1_000);
            assertTrue(stop.isRefused(request(RequestKind.STREAMING, 944, 39_000, 1_001)));
        }

        /**
         * A stream that was accepted 3.6 s after the stop because of its short length hint was cut off when the process
         * exited.
         */
        @Test
        void refusesStreamsWhoseGreatestLengthIsTooLong() {
            stop.stop(0);
            assertTrue(stop.isRefused(request(RequestKind.STREAMING, 2_224, 100, 30_000, 3_600)));
        }

        @Test
        void refusesRequestsThatOutlastTheGracePeriod() {
            stop.stop(1_000);
            assertTrue(stop.isRefused(request(RequestKind.NON_IDEMPOTENT, 0, 200, 1_000 + GRACE_MILLIS - 1_050)));
        }

        @Test
        void usesAChangedGracePeriod() {
            stop.setGrace(20_000);
            stop.stop(0);
            assertFalse(stop.isRefused(request(RequestKind.STREAMING, 944, 12_000, 1)));
        }

        /** The platform kills the process after the grace period that was in force at the signal. */
        @Test
        void keepsTheGracePeriodThatWasInForceWhenItBegan() {
            stop.stop(0);
            stop.setGrace(20_000);
            stop.stop(1_000);
            assertTrue(stop.isRefused(request(RequestKind.STREAMING, 944, 12_000, 1)));
            assertTrue(stop.isReadyToExit(1, GRACE_MILLIS - 700));
        }

        /** A request that arrives between the decision to exit and the exit would be accepted and cut off. */
        @Test
        void refusesEveryRequestOnceTheExitIsDecided() {
            stop.stop(0);
            stop.exit();
            assertTrue(stop.isRefused(request(RequestKind.NON_IDEMPOTENT, 0, 200, 4_000)));
        }
    }

    @Nested
    class Exit {
        @Test
        void isPrecededByTheFinalResponsesOfTheRequestsInProgress() {
            stop.stop(0);
            assertFalse(stop.isFinalResponseDue(GRACE_MILLIS - 1_000));
            assertTrue(stop.isFinalResponseDue(GRACE_MILLIS - 900));
            assertFalse(stop.isReadyToExit(1, GRACE_MILLIS - 900));
        }

        /** A traffic thread that does not run must not keep the process until it is killed. */
        @Test
        void isDueEvenIfTheTrafficThreadHasNotDecidedIt() {
            stop.stop(0);
            assertFalse(stop.isExitDue(GRACE_MILLIS - 700));
            assertTrue(stop.isExitDue(GRACE_MILLIS - 400));
        }

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
