package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.placement.ServerLoad;
import io.hornbeamscale.core.route.Customer;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.Optional;

/** The part of a stream that one server makes. All methods run on the traffic thread. */
final class StreamLeg implements BackendExchange.Listener {
    private static final long CONNECT_MILLIS = 400;
    private static final int MISDIRECTED = 421;

    private final StreamRelay relay;
    private final FleetServer server;
    private final Optional<SendFields.Continuation> continuation;
    private final StreamRelay.Whole whole = new StreamRelay.Whole();
    private ServerLoad load;
    private BackendExchange exchange;
    private long sentAtMillis;
    private int status;
    private HeaderMap headers;
    private boolean isNotRun;
    private boolean hasEvents;
    private boolean isEnded;

    StreamLeg(StreamRelay relay, FleetServer server, Optional<SendFields.Continuation> continuation) {
        this.relay = relay;
        this.server = server;
        this.continuation = continuation;
        this.load = continuation.isPresent()
                ? new ServerLoad(1, relay.size().totalTokens(), 0)
                : relay.size().load();
    }

    void begin(long nowMillis) {
        sentAtMillis = nowMillis;
        Traffic traffic = relay.traffic();
        RelayRequest request = relay.request();
        traffic.loads().add(server.id(), load);
        traffic.health().sent(server.id(), nowMillis);
        long remaining = Math.max(1, request.remainingMillis(nowMillis) - Relay.RETURN_MILLIS);
        SendFields fields = new SendFields(
                server.id(),
                request.customer().map(Customer::name),
                remaining,
                Optional.empty(),
                continuation,
                Optional.empty());
        BackendClient.Request call = new BackendClient.Request(
                request.method(),
                request.target(),
                traffic.codec().encodeRequest(request.headers(), fields),
                request.body().duplicate(),
                request.hasLength(),
                false,
                CONNECT_MILLIS);
        traffic.log().sent(request, server, continuation.isPresent() ? 2 : 1, remaining);
        exchange = traffic.client().send(server.record().address(), call, this, nowMillis);
    }

    FleetServer server() {
        return server;
    }

    boolean isContinuation() {
        return continuation.isPresent();
    }

    boolean isSent() {
        return exchange != null && exchange.isSent();
    }

    boolean hasEvents() {
        return hasEvents;
    }

    /** Returns true once, when the first event of this leg has arrived. */
    boolean isFirstEvent() {
        boolean isFirst = !hasEvents;
        hasEvents = true;
        return isFirst;
    }

    /** Notes that the engine has read the prompt. */
    void prefillDone() {
        hasEvents = true;
        if (load.prefillTokens() > 0 && !isEnded) {
            relay.traffic().loads().remove(server.id(), new ServerLoad(0, 0, load.prefillTokens()));
            load = new ServerLoad(load.requests(), load.tokens(), 0);
        }
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
        ServerHead head = relay.traffic().codec().decodeServer(code, found);
        exchange.setServerIdle(head.idleMillis());
        isNotRun = head.isNotRun();
        if (!head.requestId().equals(relay.request().head().requestId())) {
            exchange.cancel();
            failed(BackendExchange.Failure.BROKEN, "the response belongs to another request");
            return;
        }
        if (isNotRun || !StreamRelay.isStream(code)) {
            return;
        }
        if (!head.hasStamp()) {
            exchange.cancel();
            failed(BackendExchange.Failure.BROKEN, "the response bears no signature");
            return;
        }
        relay.traffic().health().answered(server.id(), false, ControlLoop.now() - sentAtMillis);
        relay.accepted(code, found);
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (!isNotRun && StreamRelay.isStream(status)) {
            relay.received(this, bytes);
        } else {
            whole.add(bytes);
        }
    }

    @Override
    public void completed() {
        if (!end()) {
            return;
        }
        if (isNotRun) {
            relay.traffic().health().answered(server.id(), status == MISDIRECTED, ControlLoop.now() - sentAtMillis);
            relay.notRun(this, "server " + server.id() + " refused with status " + status);
        } else if (StreamRelay.isStream(status)) {
            relay.completed(this);
        } else {
            relay.traffic().health().answered(server.id(), true, ControlLoop.now() - sentAtMillis);
            relay.failedAtServer(this, status, headers, whole.bytes());
        }
    }

    @Override
    public void failed(BackendExchange.Failure failure, String reason) {
        if (!end()) {
            return;
        }
        long now = ControlLoop.now();
        if (failure == BackendExchange.Failure.NOT_SENT) {
            relay.traffic().health().unreachable(server.id(), now);
            relay.notSent(this, reason);
            return;
        }
        if (!relay.isMoveStopping()) {
            relay.traffic().health().broke(server.id(), now);
        }
        relay.broken(this, "server " + server.id() + ": " + reason);
    }

    private boolean end() {
        if (isEnded) {
            return false;
        }
        isEnded = true;
        relay.traffic().loads().remove(server.id(), load);
        return true;
    }
}
