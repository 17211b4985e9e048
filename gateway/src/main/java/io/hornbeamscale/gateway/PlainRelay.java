package io.hornbeamscale.gateway;

import io.hornbeamscale.core.eligibility.SendTerms;
import io.hornbeamscale.core.error.BackendResponses;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.placement.PlainPlacement;
import io.hornbeamscale.core.placement.ServerLoad;
import io.hornbeamscale.core.route.Customer;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/** Relays a request that is not streamed. The response is read in full before it is sent to the caller. */
final class PlainRelay extends Relay {
    private static final ServerLoad LOAD = new ServerLoad(1, 0, 0);
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_MISDIRECTED = 421;

    /** The greatest number of times that a request is sent, including refused sends. */
    private static final int MAX_SENDS = 3;

    /** The maximum size of a response, in bytes. It is read in full before the caller receives it. */
    private static final int MAX_RESPONSE_BYTES = 640 * 1024;

    /**
     * The share of the remaining time that an attempt of a repeatable request may take while another attempt is
     * allowed.
     */
    private static final double ATTEMPT_TIME_SHARE = 0.45;

    /** The share of the remaining time that a request may wait until a server may get it; the rest is needed to run. */
    private static final double MAX_WAIT_SHARE = 0.4;

    private static final long CONNECT_TIMEOUT_MILLIS = 400;
    private static final long RETRY_AFTER_MILLIS = 300;

    private final Set<String> tried = new HashSet<>();
    private int sends;

    /** The number of sends that a server may have run. */
    private int runs;

    private Attempt attempt;

    PlainRelay(TrafficState traffic, HttpServerExchange exchange, RelayRequest request) {
        super(traffic, exchange, request);
    }

    @Override
    void start(long nowMillis) {
        send(nowMillis);
    }

    @Override
    void cancelAttempts() {
        if (attempt != null) {
            attempt.cancel();
        }
    }

    @Override
    boolean mayHaveRun() {
        return runs > 0;
    }

    @Override
    void fleetChanged() {
        // A leaving server completes the requests that it runs.
    }

    @Override
    void endIfQuarantined(long nowMillis) {
        if (!isEnded() && traffic().crashDetector().isQuarantined(request(), nowMillis)) {
            failAsQuarantined();
        }
    }

    private void failAsQuarantined() {
        String why = "the request has crashed servers";
        if (runs > 0) {
            fail(ErrorKind.OUTCOME_UNKNOWN, -1, why);
        } else {
            fail(ErrorKind.REQUEST_QUARANTINED, -1, why);
        }
    }

    private void send(long nowMillis) {
        if (refuseIfStopping()) {
            return;
        }
        if (traffic().crashDetector().isQuarantined(request(), nowMillis)) {
            failAsQuarantined();
            return;
        }
        List<FleetServer> servers = servers();
        Optional<PlainPlacement.Choice> chosen = traffic()
                .plainPlacement()
                .choose(servers, terms(), nowMillis, traffic().random());
        if (chosen.isEmpty()) {
            failWithoutServer(servers, nowMillis);
            return;
        }
        FleetServer server = chosen.get().server();
        long wait = chosen.get().waitMillis();
        if (!isWaitAcceptable(wait, nowMillis)) {
            String why = traffic().eligibility().summary(servers, terms(), nowMillis);
            if (runs > 0) {
                fail(ErrorKind.OUTCOME_UNKNOWN, -1, "the repeat would have to wait too long: " + why);
            } else {
                fail(ErrorKind.OVERLOADED, wait, "the request would have to wait too long: " + why);
            }
            return;
        }
        traffic().eligibility().reserve(server, nowMillis);
        if (wait == 0) {
            begin(server, nowMillis);
        } else {
            traffic().thread().executeAfter(() -> beginDeferred(server), wait, TimeUnit.MILLISECONDS);
        }
    }

    private void failWithoutServer(List<FleetServer> servers, long nowMillis) {
        if (runs > 0) {
            fail(ErrorKind.OUTCOME_UNKNOWN, -1, "no other server to repeat the request at");
            return;
        }
        String why = traffic().eligibility().summary(servers, terms(), nowMillis);
        fail(
                servers.isEmpty() ? ErrorKind.NO_BACKEND : ErrorKind.OVERLOADED,
                RETRY_AFTER_MILLIS,
                "no server accepts the request" + (why.isEmpty() ? "" : ": " + why));
    }

    private void beginDeferred(FleetServer server) {
        if (isEnded()) {
            return;
        }
        long now = ControlLoop.now();
        boolean isEligible = traffic()
                .server(server.id())
                .map(s -> traffic()
                        .eligibility()
                        .check(s, terms().reservedAt(s.id()), now)
                        .isAllowed())
                .orElse(false);
        if (isEligible && !traffic().stop().isRefused(request())) {
            begin(server, now);
        } else {
            send(now);
        }
    }

    private SendTerms terms() {
        return request().terms().excluding(tried);
    }

    private List<FleetServer> servers() {
        return traffic().fleet().ready(request().service().name());
    }

    private void begin(FleetServer server, long nowMillis) {
        attempt = new Attempt(server, nowMillis);
        attempt.begin(nowMillis);
    }

    private boolean isRepeatable() {
        return request().route().kind().isRepeatable();
    }

    private boolean mayRunAgain() {
        return isRepeatable() && runs < request().route().maxServers();
    }

    private boolean tryRepeat(long nowMillis) {
        return sends < MAX_SENDS
                && request().remainingMillis(nowMillis) > RESPONSE_MARGIN_MILLIS
                && traffic().repeats().tryRetry(request().service().name(), nowMillis);
    }

    private boolean hasOtherServer(long nowMillis) {
        return traffic()
                .plainPlacement()
                .choose(servers(), terms(), nowMillis, traffic().random())
                .filter(choice -> isWaitAcceptable(choice.waitMillis(), nowMillis))
                .isPresent();
    }

    private boolean isWaitAcceptable(long waitMillis, long nowMillis) {
        return waitMillis <= MAX_WAIT_SHARE * request().remainingMillis(nowMillis);
    }

    /** One attempt at one server. */
    private final class Attempt implements BackendExchange.Listener {
        private final FleetServer server;
        private final long sentAtMillis;
        private final ResponseBody body = new ResponseBody(MAX_RESPONSE_BYTES);
        private BackendExchange exchange;
        private XnioExecutor.Key timer;
        private int status;
        private HeaderMap headers;
        private BackendResponseHead head;
        private boolean isEnded;

        Attempt(FleetServer server, long nowMillis) {
            this.server = server;
            this.sentAtMillis = nowMillis;
        }

        void begin(long nowMillis) {
            tried.add(server.id());
            sends++;
            runs++;
            traffic().placed(server.id(), LOAD);
            traffic().health().sent(server.id(), nowMillis);
            long remaining = request().remainingMillis(nowMillis) - RESPONSE_MARGIN_MILLIS;
            if (mayRunAgain()) {
                timer = traffic()
                        .thread()
                        .executeAfter(
                                this::attemptTimedOut,
                                Math.max(1, (long) (remaining * ATTEMPT_TIME_SHARE)),
                                TimeUnit.MILLISECONDS);
            }
            BackendRequestFields fields = new BackendRequestFields(
                    server.id(),
                    request().customer().map(Customer::name),
                    Math.max(1, remaining),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty());
            BackendClient.Request call = new BackendClient.Request(
                    request().method(),
                    request().target(),
                    traffic().codec().encodeBackendRequest(request().headers(), fields),
                    request().body().duplicate(),
                    request().hasLength(),
                    request().head().requestId(),
                    BackendClient.Reuse.of(request().head().requestId(), isRepeatable()),
                    CONNECT_TIMEOUT_MILLIS);
            traffic()
                    .log()
                    .sent(request(), server, sends, remaining, traffic().loads().of(server.id(), nowMillis));
            exchange = traffic().client().send(server.registration().address(), call, this, nowMillis);
        }

        void cancel() {
            if (end() && exchange != null) {
                exchange.cancel();
            }
        }

        @Override
        public void responded(int code, HeaderMap found) {
            status = code;
            headers = found;
            head = traffic().codec().decodeBackendResponse(code, found);
            exchange.setServerIdleTimeout(head.idleTimeoutMillis());
            traffic().responded(server, code, head, sentAtMillis, ControlLoop.now());
            mismatch(code, head).ifPresent(why -> {
                exchange.cancel();
                failed(BackendExchange.Failure.BROKEN, why);
            });
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (!body.add(bytes)) {
                exchange.cancel();
                failed(BackendExchange.Failure.BROKEN, "the response exceeds " + MAX_RESPONSE_BYTES + " bytes");
            }
        }

        @Override
        public void completed() {
            if (!end()) {
                return;
            }
            long now = ControlLoop.now();
            if (BackendResponses.outcome(status, head.statesNotRun()) == RunOutcome.NOT_RUN) {
                runs--;
                traffic().health().answered(server.id(), status == STATUS_MISDIRECTED, now - sentAtMillis);
                refused(now);
                return;
            }
            boolean isFailure = status >= STATUS_SERVER_ERROR;
            boolean isUnsigned = !isFailure && !head.hasSignature();
            traffic().health().answered(server.id(), isFailure || isUnsigned, now - sentAtMillis);
            if ((isFailure || isUnsigned) && mayRunAgain() && hasOtherServer(now) && tryRepeat(now)) {
                traffic().log().repeated(request(), server, "status " + status);
                send(now);
            } else if (isUnsigned) {
                fail(ErrorKind.BACKEND_FAILED, -1, "the response is not signed");
            } else {
                traffic().crashDetector().completed(request(), now);
                forwardResponse(status, headers, body.toByteArray(), "server " + server.id());
            }
        }

        @Override
        public void failed(BackendExchange.Failure failure, String reason) {
            if (!end()) {
                return;
            }
            long now = ControlLoop.now();
            if (failure == BackendExchange.Failure.NOT_SENT) {
                runs--;
                traffic().health().unreachable(server.id(), now);
                traffic().log().repeated(request(), server, reason);
                if (sends < MAX_SENDS) {
                    send(now);
                } else {
                    fail(ErrorKind.NO_BACKEND, RETRY_AFTER_MILLIS, reason);
                }
                return;
            }
            traffic().health().failed(server.id(), now);
            ResponseProgress progress = headers == null ? ResponseProgress.WAITING : ResponseProgress.BEGUN;
            traffic().crashDetector().connectionBroke(server, request(), progress, now);
            broken(now, reason);
        }

        private void attemptTimedOut() {
            long now = ControlLoop.now();
            if (isEnded || headers != null || !hasOtherServer(now) || !tryRepeat(now)) {
                return;
            }
            end();
            exchange.cancel();
            traffic().health().failed(server.id(), now);
            traffic().log().repeated(request(), server, "no response yet");
            send(now);
        }

        private void refused(long now) {
            if (hasOtherServer(now) && tryRepeat(now)) {
                traffic().log().repeated(request(), server, "the server refused with status " + status);
                send(now);
            } else if (runs > 0) {
                fail(ErrorKind.OUTCOME_UNKNOWN, -1, "a repeat was refused");
            } else {
                fail(ErrorKind.OVERLOADED, RETRY_AFTER_MILLIS, "refused with status " + status);
            }
        }

        private void broken(long now, String reason) {
            if (mayRunAgain() && hasOtherServer(now) && tryRepeat(now)) {
                traffic().log().repeated(request(), server, reason);
                send(now);
            } else {
                fail(ErrorKind.OUTCOME_UNKNOWN, -1, reason);
            }
        }

        private boolean end() {
            if (isEnded) {
                return false;
            }
            isEnded = true;
            if (timer != null) {
                timer.remove();
            }
            traffic().loads().remove(server.id(), LOAD);
            return true;
        }
    }
}
