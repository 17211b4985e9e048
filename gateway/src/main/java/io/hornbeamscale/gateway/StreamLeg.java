package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.placement.CopyLinkSchedule;
import io.hornbeamscale.core.placement.ServerLoad;
import io.hornbeamscale.core.route.Customer;
import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;

/** The part of a stream that one server makes. All methods run on the traffic thread. */
final class StreamLeg implements BackendExchange.Listener {
    private static final long CONNECT_MILLIS = 400;
    /** The events over which a server's pace is measured. */
    private static final int PACE_EVENTS = 4;

    private static final int OK = 200;
    private static final int MISDIRECTED = 421;

    private final StreamRelay relay;
    private final FleetServer server;
    private final Optional<SendFields.Continuation> continuation;
    private final Optional<FleetServer> backup;
    private final EventSplitter events;
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private ServerLoad load;
    private BackendExchange exchange;
    private long sentAtMillis;
    private int status;
    private HeaderMap headers;
    private long paceFromMillis;
    private long paceFromId;
    private boolean isNotRun;
    private boolean hasEvents;
    private boolean isEnded;

    /**
     * Creates a leg that is not sent.
     *
     * @param relay the stream
     * @param server the server
     * @param continuation the state to go on from, empty for a new run
     * @param backup the server that gets a copy of the state while the leg runs, empty for none
     * @param lastId the id of the last event that the caller has, 0 if it has none
     */
    StreamLeg(
            StreamRelay relay,
            FleetServer server,
            Optional<SendFields.Continuation> continuation,
            Optional<FleetServer> backup,
            long lastId) {
        this.relay = relay;
        this.server = server;
        this.continuation = continuation;
        this.backup = backup;
        this.events = new EventSplitter(lastId);
        this.load = continuation.isPresent()
                ? new ServerLoad(1, relay.size().totalTokens(), 0)
                : relay.size().load();
    }

    void begin(long nowMillis) {
        sentAtMillis = nowMillis;
        Traffic traffic = relay.traffic();
        RelayRequest request = relay.request();
        traffic.placed(server.id(), load);
        backup.ifPresent(b -> startBackup(b, nowMillis));
        traffic.health().sent(server.id(), nowMillis);
        long remaining = Math.max(1, request.remainingMillis(nowMillis) - Relay.RETURN_MILLIS);
        SendFields fields = new SendFields(
                server.id(),
                request.customer().map(Customer::name),
                remaining,
                Optional.empty(),
                continuation,
                backup.map(b -> b.registration().address()));
        BackendClient.Request call = new BackendClient.Request(
                request.method(),
                request.target(),
                traffic.codec().encodeRequest(request.headers(), fields),
                request.body().duplicate(),
                request.hasLength(),
                false,
                CONNECT_MILLIS);
        traffic.log()
                .streamSent(
                        request,
                        server,
                        continuation.isPresent() ? 2 : 1,
                        remaining,
                        traffic.loads().of(server.id(), nowMillis),
                        traffic.pace().intervalMillis(server.id()),
                        backup.map(FleetServer::id).orElse(""));
        exchange = traffic.client().send(server.registration().address(), call, this, nowMillis);
    }

    FleetServer server() {
        return server;
    }

    Optional<FleetServer> backup() {
        return backup;
    }

    boolean isSent() {
        return exchange != null && exchange.isSent();
    }

    boolean isEnded() {
        return isEnded;
    }

    /** Returns whether the run has begun to make events. */
    boolean hasEvents() {
        return hasEvents;
    }

    /** Returns the id of the last event that the caller has, as far as this leg knows. */
    long lastId() {
        return events.lastId();
    }

    /** Skips events that the caller got from the leg before. */
    void skipTo(long id) {
        events.skipTo(id);
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
        if (!isStream()) {
            return;
        }
        if (!head.hasStamp()) {
            exchange.cancel();
            failed(BackendExchange.Failure.BROKEN, "the response bears no signature");
            return;
        }
        relay.traffic().health().answered(server.id(), false, ControlLoop.now() - sentAtMillis);
        relay.accepted(this, code, found);
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (!isStream()) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            whole.writeBytes(copy);
            return;
        }
        byte[] found = events.feed(bytes);
        if (found.length == 0) {
            return;
        }
        boolean isFirst = !hasEvents;
        hasEvents = true;
        if (events.hasGap()) {
            exchange.cancel();
            failed(BackendExchange.Failure.BROKEN, "an event is missing before event " + events.lastId());
            return;
        }
        if (isFirst) {
            prefillDone();
        }
        notePace(ControlLoop.now());
        relay.received(this, found, isFirst);
    }

    @Override
    public void completed() {
        if (!end()) {
            return;
        }
        if (isNotRun) {
            relay.traffic().health().answered(server.id(), status == MISDIRECTED, ControlLoop.now() - sentAtMillis);
            relay.notRun(this, "server " + server.id() + " refused with status " + status);
        } else if (!isStream()) {
            relay.traffic().health().answered(server.id(), true, ControlLoop.now() - sentAtMillis);
            relay.failedAtServer(this, status, headers, whole.toByteArray());
        } else if (events.hasPart()) {
            relay.broken(this, "the stream ended within an event");
        } else {
            relay.completed(this);
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
        relay.traffic().health().failed(server.id(), now);
        relay.broken(this, "server " + server.id() + ": " + reason);
    }

    private boolean isStream() {
        return status == OK && !isNotRun;
    }

    private void startBackup(FleetServer to, long nowMillis) {
        Traffic traffic = relay.traffic();
        traffic.loads().add(to.id(), backupLoad());
        boolean isSameZone =
                to.registration().zone().equals(server.registration().zone());
        double millis = CopyLinkSchedule.copyMillis(relay.engine(), relay.size().promptTokens(), isSameZone);
        traffic.links().begin(server.id(), to.id(), millis, nowMillis);
    }

    /** Learns the server's pace from every few events. */
    private void notePace(long nowMillis) {
        long made = events.lastId() - paceFromId;
        if (paceFromMillis > 0 && made >= PACE_EVENTS) {
            relay.traffic().pace().observe(server.id(), (nowMillis - paceFromMillis) / (double) made);
        }
        if (paceFromMillis == 0 || made >= PACE_EVENTS) {
            paceFromMillis = nowMillis;
            paceFromId = events.lastId();
        }
    }

    private ServerLoad backupLoad() {
        return new ServerLoad(0, relay.size().totalTokens(), 0);
    }

    /** Notes that the engine has read the prompt. */
    private void prefillDone() {
        if (load.prefillTokens() > 0 && !isEnded) {
            relay.traffic().loads().remove(server.id(), new ServerLoad(0, 0, load.prefillTokens()));
            load = new ServerLoad(load.requests(), load.tokens(), 0);
            relay.traffic().placeWaiting();
        }
    }

    private boolean end() {
        if (isEnded) {
            return false;
        }
        isEnded = true;
        relay.traffic().loads().remove(server.id(), load);
        backup.ifPresent(b -> relay.traffic().loads().remove(b.id(), backupLoad()));
        return true;
    }
}
