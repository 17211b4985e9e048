package io.hornbeamscale.gateway;

import io.hornbeamscale.core.error.BackendResponses;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.placement.CopyLinkSchedule;
import io.hornbeamscale.core.placement.ServerLoad;
import io.hornbeamscale.core.route.Customer;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.Optional;

/** One attempt of a stream: the events that one server generates. All methods run on the traffic thread. */
final class StreamAttempt implements BackendExchange.Listener {
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /** The number of events over which a server's pace is measured. */
    private static final int PACE_EVENTS = 4;

    /** The maximum size of an event, in bytes. */
    private static final int MAX_EVENT_BYTES = 256 * 1024;

    /** The maximum size of a response that is no stream, in bytes. */
    private static final int MAX_ERROR_BYTES = 64 * 1024;

    /**
     * How long a response counts as just begun, in milliseconds; an engine that crashes on a prompt does so with its
     * first tokens.
     */
    private static final long BEGINNING_MILLIS = 250;

    private static final int STATUS_OK = 200;
    private static final int STATUS_MISDIRECTED = 421;

    private final StreamRelay relay;
    private final FleetServer server;
    private final Optional<BackendRequestFields.Continuation> continuation;
    private final Optional<FleetServer> backup;
    private final EventSplitter events;
    private final ResponseBody errorBody = new ResponseBody(MAX_ERROR_BYTES);
    private final ResponseMemory.Held held;
    private ServerLoad load;
    private BackendExchange exchange;
    private long sentAtMillis;
    private int status;
    private HeaderMap headers;
    private long paceStartMillis;
    private long paceStartId;
    private boolean isNotRun;
    private long firstEventAtMillis;
    private boolean hasAdvanced;
    private boolean hasEvents;
    private boolean isEnded;

    /**
     * Creates an attempt that is not sent yet.
     *
     * @param relay the stream
     * @param server the server
     * @param continuation the state to continue from, empty for a new run
     * @param backup the server that receives a copy of the state while the attempt runs, empty for none
     * @param lastId the id of the last event that the caller has, 0 if it has none
     */
    StreamAttempt(
            StreamRelay relay,
            FleetServer server,
            Optional<BackendRequestFields.Continuation> continuation,
            Optional<FleetServer> backup,
            long lastId) {
        this.relay = relay;
        this.server = server;
        this.continuation = continuation;
        this.backup = backup;
        this.events = new EventSplitter(lastId);
        this.held = relay.traffic()
                .responses()
                .open(() -> giveUp("too much is held of servers' responses"), ControlLoop.now());
        this.load = continuation.isPresent()
                ? relay.size().loadAfter(lastId * relay.engine().tokensPerEvent())
                : relay.size().load();
    }

    void begin(long nowMillis) {
        sentAtMillis = nowMillis;
        TrafficState traffic = relay.traffic();
        RelayRequest request = relay.request();
        traffic.placed(server.id(), load);
        backup.ifPresent(b -> startBackup(b, nowMillis));
        traffic.health().sent(server.id(), nowMillis);
        long remaining = Math.max(1, request.remainingMillis(nowMillis) - Relay.RESPONSE_MARGIN_MILLIS);
        BackendRequestFields fields = new BackendRequestFields(
                server.id(),
                request.customer().map(Customer::name),
                remaining,
                Optional.of(request.enginePriority()),
                continuation,
                backup.map(b -> b.registration().address()));
        BackendClient.Request call = new BackendClient.Request(
                request.method(),
                request.target(),
                traffic.codec().encodeBackendRequest(request.headers(), fields),
                request.body().duplicate(),
                request.hasLength(),
                request.head().requestId(),
                BackendClient.Reuse.of(request.head().requestId(), false),
                CONNECT_TIMEOUT_MILLIS);
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

    /** Returns whether the server has responded with a stream, so it had begun the run. */
    boolean hasBegun() {
        return isStream();
    }

    /** Returns whether the server has sent an event. */
    boolean hasEvents() {
        return hasEvents;
    }

    /** Returns how far the response has come. */
    ResponseProgress progress(long nowMillis) {
        if (hasEvents && nowMillis - firstEventAtMillis >= BEGINNING_MILLIS) {
            return ResponseProgress.ADVANCED;
        }
        return isStream() ? ResponseProgress.BEGUN : ResponseProgress.WAITING;
    }

    /** Returns the id of the last event that the caller has, as far as this attempt knows. */
    long lastId() {
        return events.lastId();
    }

    /** Skips the events that the caller received from the previous attempt. */
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
        BackendResponseHead head = relay.traffic().codec().decodeBackendResponse(code, found);
        exchange.setServerIdleTimeout(head.idleTimeoutMillis());
        isNotRun = BackendResponses.outcome(code, head.statesNotRun()) == RunOutcome.NOT_RUN;
        relay.traffic().responded(server, code, head, sentAtMillis, ControlLoop.now());
        Optional<String> mismatch = relay.mismatch(code, head);
        if (mismatch.isPresent()) {
            exchange.cancel();
            failed(BackendExchange.Failure.BROKEN, mismatch.get());
            return;
        }
        if (!isStream()) {
            return;
        }
        if (!head.hasSignature()) {
            exchange.cancel();
            failed(BackendExchange.Failure.BROKEN, "the response is not signed");
            return;
        }
        relay.traffic().health().answered(server.id(), false, ControlLoop.now() - sentAtMillis);
        if (!relay.accepted(this, code, found)) {
            exchange.pause();
        }
    }

    /** Goes on with a response that the relay accepts now. */
    void resume() {
        if (!isEnded) {
            relay.accepted(this, status, headers);
            exchange.resume();
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (!isStream()) {
            if (errorBody.add(bytes)) {
                held.set(errorBody.size(), ControlLoop.now());
            } else {
                giveUp("the error response exceeds " + MAX_ERROR_BYTES + " bytes");
            }
            return;
        }
        byte[] found = events.feed(bytes);
        if (events.pendingBytes() > MAX_EVENT_BYTES) {
            giveUp("an event exceeds " + MAX_EVENT_BYTES + " bytes");
            return;
        }
        held.set(events.pendingBytes(), ControlLoop.now());
        if (found.length == 0 || isEnded) {
            return;
        }
        boolean isFirst = !hasEvents;
        if (isFirst) {
            firstEventAtMillis = ControlLoop.now();
        }
        hasEvents = true;
        if (events.hasGap()) {
            exchange.cancel();
            failed(BackendExchange.Failure.BROKEN, "an event is missing before event " + events.lastId());
            return;
        }
        if (isFirst) {
            prefillCompleted();
        }
        long now = ControlLoop.now();
        observePace(now);
        if (!hasAdvanced && progress(now) == ResponseProgress.ADVANCED) {
            hasAdvanced = true;
            relay.traffic().crashDetector().advanced(relay.request(), now);
        }
        relay.received(this, found, isFirst);
    }

    private void giveUp(String why) {
        exchange.cancel();
        errorBody.discard();
        events.discard();
        failed(BackendExchange.Failure.BROKEN, why);
    }

    @Override
    public void completed() {
        if (!end()) {
            return;
        }
        if (isNotRun) {
            relay.traffic()
                    .health()
                    .answered(server.id(), status == STATUS_MISDIRECTED, ControlLoop.now() - sentAtMillis);
            relay.notRun(this, "server " + server.id() + " refused with status " + status);
        } else if (!isStream()) {
            relay.traffic().health().answered(server.id(), true, ControlLoop.now() - sentAtMillis);
            relay.failedAtServer(this, status, headers, errorBody.toByteArray());
        } else if (events.hasPartialEvent()) {
            relay.connectionBroke(this, "the stream ended within an event");
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
        relay.connectionBroke(this, "server " + server.id() + ": " + reason);
    }

    private boolean isStream() {
        return status == STATUS_OK && !isNotRun;
    }

    private void startBackup(FleetServer to, long nowMillis) {
        TrafficState traffic = relay.traffic();
        traffic.loads().add(to.id(), backupLoad());
        boolean isSameZone =
                to.registration().zone().equals(server.registration().zone());
        double millis = CopyLinkSchedule.copyMillis(relay.engine(), relay.size().promptTokens(), isSameZone);
        traffic.copyLinks().begin(server.id(), to.id(), millis, nowMillis);
    }

    /** Measures the server's pace over every {@link #PACE_EVENTS} events. */
    private void observePace(long nowMillis) {
        long made = events.lastId() - paceStartId;
        if (paceStartMillis > 0 && made >= PACE_EVENTS) {
            relay.traffic().pace().observe(server.id(), (nowMillis - paceStartMillis) / (double) made);
        }
        if (paceStartMillis == 0 || made >= PACE_EVENTS) {
            paceStartMillis = nowMillis;
            paceStartId = events.lastId();
            updateLoad(relay.size().loadAfter(paceStartId * relay.engine().tokensPerEvent()));
        }
    }

    private ServerLoad backupLoad() {
        return new ServerLoad(0, relay.size().totalTokens(), 0);
    }

    /** Removes the prompt from the load of the server, as the engine has read it. */
    private void prefillCompleted() {
        if (load.prefillTokens() > 0) {
            updateLoad(relay.size().loadAfter(0));
            relay.traffic().placeWaiting();
        }
    }

    private void updateLoad(ServerLoad changed) {
        if (!isEnded) {
            relay.traffic().loads().replace(server.id(), load, changed);
            load = changed;
        }
    }

    private boolean end() {
        if (isEnded) {
            return false;
        }
        isEnded = true;
        held.release();
        relay.traffic().loads().remove(server.id(), load);
        backup.ifPresent(b -> relay.traffic().loads().remove(b.id(), backupLoad()));
        return true;
    }
}
