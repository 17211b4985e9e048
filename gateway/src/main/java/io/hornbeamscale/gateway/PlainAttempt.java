package io.hornbeamscale.gateway;

import io.hornbeamscale.core.error.BackendResponses;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.placement.ServerLoad;
import io.hornbeamscale.core.route.Customer;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/** One attempt of a plain request at one server. All methods run on the traffic thread. */
final class PlainAttempt implements BackendExchange.Listener {
    private static final ServerLoad LOAD = new ServerLoad(1, 0, 0);
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_MISDIRECTED = 421;

    /** The maximum size of a response, in bytes. It is read in full before the caller receives it. */
    private static final int MAX_RESPONSE_BYTES = 640 * 1024;

    /**
     * The share of the remaining time that an attempt of a repeatable request may take while another attempt is
     * allowed.
     */
    private static final double ATTEMPT_TIME_SHARE = 0.45;

    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    private final PlainRelay relay;
    private final FleetServer server;
    private final boolean isHedge;
    private final long sentAtMillis;
    private final ResponseBody body = new ResponseBody(MAX_RESPONSE_BYTES);
    private final ResponseMemory.Held held;
    private BackendExchange exchange;
    private XnioExecutor.Key timer;
    private int status;
    private HeaderMap headers;
    private BackendResponseHead head;
    private boolean isOverdue;
    private boolean isEnded;

    /**
     * Creates an attempt that is not sent yet.
     *
     * @param relay the request
     * @param server the server
     * @param isHedge whether another attempt of the request still waits for its response
     * @param nowMillis the present time
     */
    PlainAttempt(PlainRelay relay, FleetServer server, boolean isHedge, long nowMillis) {
        this.relay = relay;
        this.server = server;
        this.isHedge = isHedge;
        this.sentAtMillis = nowMillis;
        held = relay.traffic().responses().open(() -> giveUp("too much is held of servers' responses"), nowMillis);
    }

    /** Sends the request. If it may run again, the attempt becomes overdue after a part of the remaining time. */
    void begin(int number, boolean mayRunAgain, long nowMillis) {
        TrafficState traffic = relay.traffic();
        RelayRequest request = relay.request();
        traffic.placed(server.id(), LOAD);
        traffic.health().sent(server.id(), nowMillis);
        long remaining = request.remainingMillis(nowMillis) - Relay.RESPONSE_MARGIN_MILLIS;
        if (mayRunAgain) {
            timer = traffic.thread()
                    .executeAfter(
                            this::timedOut,
                            Math.max(1, (long) (remaining * ATTEMPT_TIME_SHARE)),
                            TimeUnit.MILLISECONDS);
        }
        BackendRequestFields fields = new BackendRequestFields(
                server.id(),
                request.customer().map(Customer::name),
                Math.max(1, remaining),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
        BackendClient.Request call = new BackendClient.Request(
                request.method(),
                request.target(),
                traffic.codec().encodeBackendRequest(request.headers(), fields),
                request.body().duplicate(),
                request.hasLength(),
                request.head().requestId(),
                BackendClient.Reuse.of(
                        request.head().requestId(), request.route().kind().isRepeatable()),
                CONNECT_TIMEOUT_MILLIS);
        traffic.log().sent(request, server, number, remaining, traffic.loads().of(server.id(), nowMillis));
        exchange = traffic.client().send(server.registration().address(), call, this, nowMillis);
    }

    FleetServer server() {
        return server;
    }

    boolean isHedge() {
        return isHedge;
    }

    long sentAtMillis() {
        return sentAtMillis;
    }

    /** Returns the status code of the response, 0 before it. */
    int status() {
        return status;
    }

    /** Returns the headers of the response, null before it. */
    HeaderMap headers() {
        return headers;
    }

    byte[] body() {
        return body.toByteArray();
    }

    boolean isResponseBegun() {
        return headers != null;
    }

    /** Returns whether no response has begun within the time after which the request may be sent again. */
    boolean isOverdue() {
        return isOverdue && !isResponseBegun();
    }

    boolean isEnded() {
        return isEnded;
    }

    void cancel() {
        if (end() && exchange != null) {
            exchange.cancel();
            body.discard();
        }
    }

    @Override
    public void responded(int code, HeaderMap found) {
        status = code;
        headers = found;
        head = relay.traffic().codec().decodeBackendResponse(code, found);
        exchange.setServerIdleTimeout(head.idleTimeoutMillis());
        relay.traffic().responded(server, code, head, sentAtMillis, ControlLoop.now());
        relay.mismatch(code, head).ifPresent(why -> {
            exchange.cancel();
            failed(BackendExchange.Failure.BROKEN, why);
        });
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (body.add(bytes)) {
            held.set(body.size(), ControlLoop.now());
        } else {
            giveUp("the response exceeds " + MAX_RESPONSE_BYTES + " bytes");
        }
    }

    private void giveUp(String why) {
        exchange.cancel();
        body.discard();
        failed(BackendExchange.Failure.BROKEN, why);
    }

    @Override
    public void completed() {
        if (!end()) {
            return;
        }
        long now = ControlLoop.now();
        if (BackendResponses.outcome(status, head.statesNotRun()) == RunOutcome.NOT_RUN) {
            relay.traffic().health().answered(server.id(), status == STATUS_MISDIRECTED, now - sentAtMillis);
            relay.refused(this, now);
            return;
        }
        boolean isFailure = status >= STATUS_SERVER_ERROR;
        boolean isUnsigned = !isFailure && !head.hasSignature();
        relay.traffic().health().answered(server.id(), isFailure || isUnsigned, now - sentAtMillis);
        relay.completed(this, isFailure, isUnsigned, now);
    }

    @Override
    public void failed(BackendExchange.Failure failure, String reason) {
        if (!end()) {
            return;
        }
        long now = ControlLoop.now();
        if (failure == BackendExchange.Failure.NOT_SENT) {
            relay.traffic().health().unreachable(server.id(), now);
            relay.notSent(this, reason, now);
            return;
        }
        relay.traffic().health().failed(server.id(), now);
        ResponseProgress progress = isResponseBegun() ? ResponseProgress.BEGUN : ResponseProgress.WAITING;
        relay.traffic().crashDetector().connectionBroke(server, relay.request(), progress, now);
        relay.broke(this, reason, now);
    }

    private void timedOut() {
        isOverdue = true;
        if (!isEnded && !isResponseBegun()) {
            relay.timedOut(this, ControlLoop.now());
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
        held.release();
        relay.traffic().loads().remove(server.id(), LOAD);
        relay.attemptEnded(this);
        return true;
    }
}
