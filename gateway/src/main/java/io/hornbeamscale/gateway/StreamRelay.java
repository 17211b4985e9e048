package io.hornbeamscale.gateway;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.placement.GenerationSize;
import io.hornbeamscale.core.placement.PlacementQueue;
import io.hornbeamscale.core.route.EngineSpec;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A request whose response is a stream of events. It runs once: when its server leaves, its state is copied to another
 * server, which goes on where the first one stopped, and the caller sees a single stream.
 */
final class StreamRelay extends Relay {
    /** How often a stream is offered to servers that refuse it. */
    private static final int MAX_OFFERS = 3;

    private static final long RETRY_AFTER_MILLIS = 600;

    /** How long the second server may take until it goes on, in milliseconds; callers leave after about 6,000. */
    private static final long HAND_OVER_MILLIS = 4_000;

    /** The expected length of a response, in tokens, from which its state is copied while it runs. */
    private static final long BACKUP_TOKENS = 100;

    private final GenerationSize size;
    private final Set<String> refused = new HashSet<>();
    private int offers;
    private StreamLeg leg;
    private StreamLeg next;
    private StreamMove move;
    private boolean hasRun;
    private long firstEventMillis = -1;
    private long lastEventAtMillis;
    private long longestGapMillis;
    private long longestGapBeforeId;
    private long lastId;
    private int handOvers;

    StreamRelay(Traffic traffic, HttpServerExchange exchange, RelayRequest request) {
        super(traffic, exchange, request);
        this.size = request.size();
        this.lastId = request.lastEventId();
    }

    @Override
    void run(long nowMillis) {
        if (!traffic().waiting().isEmpty() || !tryPlace()) {
            awaitRoom(nowMillis);
        }
    }

    @Override
    void cancelSends() {
        if (move != null) {
            move.abandon();
        }
        if (next != null) {
            next.cancel();
        }
        if (leg != null) {
            leg.cancel();
        }
    }

    @Override
    boolean mayHaveRun() {
        return hasRun || (leg != null && leg.isSent());
    }

    @Override
    void fleetChanged() {
        leaveIfNeeded();
    }

    /** Offers the request to a server with room; returns whether it need not wait any longer. */
    boolean tryPlace() {
        if (isEnded()) {
            return true;
        }
        long now = ControlLoop.now();
        if (traffic().crashes().isQuarantined(request(), now)) {
            // It was found while this request waited for room.
            fail(ErrorKind.REQUEST_QUARANTINED, -1, "the request has crashed servers");
            return true;
        }
        List<FleetServer> servers = servers();
        Optional<FleetServer> chosen = traffic()
                .generations()
                .choose(servers, engine(), size, refused, now, traffic().random());
        if (chosen.isEmpty()) {
            return false;
        }
        offers++;
        leg = new StreamLeg(this, chosen.get(), Optional.empty(), backupFor(chosen.get(), now), lastId);
        leg.begin(now);
        return true;
    }

    /** Returns the id of the server that runs the stream, empty if none does. */
    Optional<String> serverId() {
        return leg == null || leg.isEnded()
                ? Optional.empty()
                : Optional.of(leg.server().id());
    }

    EngineSpec engine() {
        return request().service().engine().orElseThrow();
    }

    GenerationSize size() {
        return size;
    }

    /**
     * Lets another server go on with the stream from a copy of its state. The first server runs until the second one
     * has begun, which its response tells, and is stopped then.
     */
    void handOver(FleetServer to, Endpoint owner, String handle) {
        if (isEnded()) {
            return;
        }
        long now = ControlLoop.now();
        handOvers++;
        traffic().repeats().forceRetry(request().service().name(), now);
        Optional<String> last = lastId > 0 ? Optional.of(Long.toString(lastId)) : Optional.empty();
        StreamLeg second = new StreamLeg(
                this, to, Optional.of(new SendFields.Continuation(owner, handle, last)), backupFor(to, now), lastId);
        next = second;
        second.begin(now);
        after(HAND_OVER_MILLIS, () -> {
            if (next == second) {
                lost("server " + to.id() + " did not go on with the stream in time");
            }
        });
    }

    /** The server refused the request without running it. */
    void notRun(StreamLeg from, String why) {
        if (from == next) {
            handOverFailed(from, why);
            return;
        }
        long now = ControlLoop.now();
        refused.add(from.server().id());
        leg = null;
        boolean mayRepeat = offers < MAX_OFFERS
                && traffic().repeats().tryRetry(request().service().name(), now);
        if (!mayRepeat) {
            fail(ErrorKind.OVERLOADED, RETRY_AFTER_MILLIS, why);
            return;
        }
        traffic().log().repeated(request(), from.server(), why);
        if (!tryPlace()) {
            refused.clear();
            awaitRoom(now);
        }
    }

    /** No connection to the server could be opened. */
    void notSent(StreamLeg from, String why) {
        if (from == next) {
            handOverFailed(from, why);
            return;
        }
        traffic().log().repeated(request(), from.server(), why);
        refused.add(from.server().id());
        leg = null;
        if (offers >= MAX_OFFERS) {
            fail(ErrorKind.NO_BACKEND, RETRY_AFTER_MILLIS, why);
        } else if (!tryPlace()) {
            awaitRoom(ControlLoop.now());
        }
    }

    /** The head of a successful response has arrived. */
    void accepted(StreamLeg from, int status, HeaderMap headers) {
        hasRun = true;
        if (from == next) {
            next = null;
            leg.cancel();
            leg = from;
            leg.skipTo(lastId);
        }
        if (!response().isStarted()) {
            startPassing(status, headers);
        }
    }

    /** Events have arrived that the caller lacks. */
    void received(StreamLeg from, byte[] events, boolean isFirstOfLeg) {
        if (from != leg) {
            return;
        }
        lastId = from.lastId();
        response().write(events);
        noteEvent();
        if (isFirstOfLeg) {
            leaveIfNeeded();
        }
    }

    /** The server has ended the stream. */
    void completed(StreamLeg from) {
        if (from != leg) {
            lost("the stream ended before it was handed over");
            return;
        }
        finishPassing("server " + from.server().id());
        cancelSends();
        traffic().crashes().completed(request(), ControlLoop.now());
    }

    /** The server answered with a failure, after it may have run the request. */
    void failedAtServer(StreamLeg from, int status, HeaderMap headers, byte[] body) {
        hasRun = true;
        if (from == next) {
            handOverFailed(from, "status " + status);
        } else {
            passOn(status, headers, body, "server " + from.server().id());
        }
    }

    /** The connection to the server broke, or its response could not be understood. */
    void broken(StreamLeg from, String why) {
        hasRun = true;
        if (from == next) {
            handOverFailed(from, why);
            return;
        }
        traffic().crashes().broke(from.server(), request());
        if (next != null) {
            // The other server goes on, or the time for that runs out.
            return;
        }
        Optional<FleetServer> copy = usableBackup();
        if (copy.isPresent() && response().isStarted()) {
            traffic().log().repeated(request(), from.server(), why);
            handOver(copy.get(), copy.get().registration().address(), request().id());
        } else {
            lost(why);
        }
    }

    /** Forgets the move after its end. */
    void moveEnded() {
        move = null;
    }

    @Override
    String detail() {
        return "events to " + lastId + ", first after " + firstEventMillis + " ms, longest gap " + longestGapMillis
                + " ms to event " + longestGapBeforeId + ", hand-overs " + handOvers;
    }

    private void handOverFailed(StreamLeg from, String why) {
        next = null;
        traffic().log().repeated(request(), from.server(), why);
        if (leg.isEnded()) {
            lost("nothing can go on with the stream: " + why);
            return;
        }
        startMove();
    }

    private void leaveIfNeeded() {
        if (isEnded() || move != null || next != null || leg == null || !leg.hasEvents() || leg.isEnded()) {
            return;
        }
        boolean isLeaving =
                traffic().server(leg.server().id()).map(s -> !s.isReady()).orElse(true);
        if (!isLeaving) {
            return;
        }
        Optional<FleetServer> copy = usableBackup();
        if (copy.isPresent()) {
            handOver(copy.get(), copy.get().registration().address(), request().id());
        } else {
            startMove();
        }
    }

    private void startMove() {
        if (engine().canMove()) {
            move = new StreamMove(this, leg);
            move.begin(ControlLoop.now());
        }
    }

    private Optional<FleetServer> usableBackup() {
        return leg.backup()
                .flatMap(b -> traffic().server(b.id()))
                .filter(b -> b.isReady() && traffic().health().isUsable(b.id(), ControlLoop.now()));
    }

    private Optional<FleetServer> backupFor(FleetServer server, long nowMillis) {
        if (!engine().canBackUp() || size.expectedTokens() < BACKUP_TOKENS) {
            return Optional.empty();
        }
        return traffic()
                .generations()
                .chooseBackup(
                        servers(), engine(), size, server, nowMillis, traffic().random());
    }

    private List<FleetServer> servers() {
        return traffic().fleet().ready(request().service().name());
    }

    private void noteEvent() {
        long now = ControlLoop.now();
        if (firstEventMillis < 0) {
            firstEventMillis = now - request().arrivedAtMillis();
            traffic().metrics().firstEvent(firstEventMillis);
        } else {
            if (now - lastEventAtMillis > longestGapMillis) {
                longestGapMillis = now - lastEventAtMillis;
                longestGapBeforeId = lastId;
            }
        }
        lastEventAtMillis = now;
    }

    private void lost(String why) {
        fail(ErrorKind.GENERATION_LOST, -1, why);
    }

    private void awaitRoom(long nowMillis) {
        PlacementQueue.Requirements need = new PlacementQueue.Requirements(
                request().priority(),
                size.promptTokens(),
                request().arrivedAtMillis(),
                request().route().objectiveMillis(),
                request().deadlineMillis());
        int ahead = traffic().waiting().size();
        Optional<Long> comeAgain =
                traffic().waiting().offer(this, need, servers().size(), nowMillis);
        if (comeAgain.isPresent()) {
            fail(ErrorKind.OVERLOADED, comeAgain.get(), "no server has room in time");
            return;
        }
        traffic().metrics().count("waited");
        long limit = PlacementQueue.maxWaitMillis(need, nowMillis);
        traffic().log().waits(request(), servers().size(), ahead, limit);
        after(limit, () -> {
            if (leg == null) {
                fail(ErrorKind.OVERLOADED, RETRY_AFTER_MILLIS, "no server had room in time");
            }
        });
    }

    private void after(long millis, Runnable task) {
        traffic()
                .thread()
                .executeAfter(
                        () -> {
                            if (!isEnded()) {
                                task.run();
                            }
                        },
                        millis,
                        TimeUnit.MILLISECONDS);
    }
}
