package io.hornbeamscale.gateway;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.placement.GenerationSize;
import io.hornbeamscale.core.route.EngineSpec;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
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
    private static final int OK = 200;

    /** How often a stream is offered to servers that refuse it. */
    private static final int MAX_OFFERS = 3;

    /** The share of the time to the first event that a request may wait for room. */
    private static final double WAIT_SHARE = 0.75;

    private static final long RETRY_AFTER_MILLIS = 600;

    private final GenerationSize size;
    private final EventSplitter events = new EventSplitter();
    private final Set<String> refused = new HashSet<>();
    private int offers;
    private StreamLeg leg;
    private StreamMove move;
    private boolean hasRun;

    StreamRelay(Traffic traffic, HttpServerExchange exchange, RelayRequest request) {
        super(traffic, exchange, request);
        this.size = request.size();
    }

    @Override
    void run(long nowMillis) {
        if (traffic().isAnyWaiting() || !tryPlace()) {
            awaitRoom(nowMillis);
        }
    }

    @Override
    void cancelSends() {
        if (move != null) {
            move.abandon();
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
        moveIfLeaving();
    }

    /** Offers the request to a server with room; returns whether it need not wait any longer. */
    boolean tryPlace() {
        if (isEnded()) {
            return true;
        }
        long now = ControlLoop.now();
        List<FleetServer> servers = traffic().fleet().ready(request().service().name());
        Optional<FleetServer> chosen = traffic()
                .generations()
                .choose(servers, engine(), size, refused, now, traffic().random());
        if (chosen.isEmpty()) {
            return false;
        }
        offers++;
        startLeg(chosen.get(), Optional.empty(), now);
        return true;
    }

    /** Starts to run the request, or to go on with it, at a server. */
    void startLeg(FleetServer server, Optional<SendFields.Continuation> continuation, long nowMillis) {
        leg = new StreamLeg(this, server, continuation);
        leg.begin(nowMillis);
    }

    EngineSpec engine() {
        return request().service().engine().orElseThrow();
    }

    GenerationSize size() {
        return size;
    }

    EventSplitter events() {
        return events;
    }

    StreamLeg leg() {
        return leg;
    }

    /** The server refused the request without running it. */
    void notRun(StreamLeg from, String why) {
        long now = ControlLoop.now();
        if (from.isContinuation()) {
            lost("the continuation was refused: " + why);
            return;
        }
        refused.add(from.server().id());
        leg = null;
        boolean mayRepeat = offers < MAX_OFFERS
                && traffic().repeats().tryRepeat(request().service().name(), now);
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
        traffic().log().repeated(request(), from.server(), why);
        if (from.isContinuation()) {
            lost("the continuation could not be sent: " + why);
            return;
        }
        refused.add(from.server().id());
        leg = null;
        if (offers >= MAX_OFFERS) {
            fail(ErrorKind.NO_BACKEND, RETRY_AFTER_MILLIS, why);
        } else if (!tryPlace()) {
            awaitRoom(ControlLoop.now());
        }
    }

    /** The head of a successful response has arrived. */
    void accepted(int status, HeaderMap headers) {
        hasRun = true;
        if (!response().isStarted()) {
            startPassing(status, headers);
        }
    }

    /** Events have arrived. */
    void received(StreamLeg from, ByteBuffer bytes) {
        hasRun = true;
        boolean isFirst = events.events() == 0;
        byte[] whole = events.feed(bytes);
        if (whole.length == 0) {
            return;
        }
        response().write(whole);
        if (isFirst) {
            traffic().metrics().firstEvent(ControlLoop.now() - request().arrivedAtMillis());
        }
        if (isFirst || from.isFirstEvent()) {
            from.prefillDone();
            moveIfLeaving();
        }
    }

    /** The server has ended the stream. */
    void completed(StreamLeg from) {
        if (events.hasPart()) {
            broken(from, "the stream ended within an event");
            return;
        }
        finishPassing("server " + from.server().id() + ", " + events.events() + " events");
        if (move != null) {
            move.abandon();
        }
    }

    /** The server answered with a failure, after it may have run the request. */
    void failedAtServer(StreamLeg from, int status, HeaderMap headers, byte[] body) {
        hasRun = true;
        if (response().isStarted()) {
            lost("the continuation ended with status " + status);
        } else {
            passOn(status, headers, body, "server " + from.server().id());
        }
    }

    /** The connection to the server broke, or its response could not be understood. */
    void broken(StreamLeg from, String why) {
        hasRun = true;
        events.dropPart();
        if (isMoveStopping()) {
            move.sourceEnded();
            return;
        }
        lost(why);
    }

    /** Nothing can continue the stream. */
    void lost(String why) {
        fail(ErrorKind.GENERATION_LOST, -1, why);
    }

    /** Returns whether the end of the present leg is expected. */
    boolean isMoveStopping() {
        return move != null && move.isStopping();
    }

    /** Forgets the move after its end. */
    void moveEnded() {
        move = null;
    }

    private void moveIfLeaving() {
        if (isEnded() || move != null || leg == null || !engine().canMove() || !leg.hasEvents()) {
            return;
        }
        boolean isLeaving =
                traffic().server(leg.server().id()).map(s -> !s.isReady()).orElse(true);
        if (isLeaving) {
            move = new StreamMove(this, leg);
            move.begin(ControlLoop.now());
        }
    }

    private void awaitRoom(long nowMillis) {
        long waited = nowMillis - request().arrivedAtMillis();
        long limit = (long) (request().route().objectiveMillis() * WAIT_SHARE) - waited;
        if (limit <= 0) {
            fail(ErrorKind.OVERLOADED, RETRY_AFTER_MILLIS, "no server has room");
            return;
        }
        traffic().await(this);
        traffic().thread().executeAfter(this::waitedTooLong, limit, TimeUnit.MILLISECONDS);
    }

    private void waitedTooLong() {
        if (!isEnded() && leg == null) {
            fail(ErrorKind.OVERLOADED, RETRY_AFTER_MILLIS, "no server has room");
        }
    }

    /** Collects the body of a response that is not a stream. */
    static final class Whole {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        void add(ByteBuffer bytes) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            out.writeBytes(copy);
        }

        byte[] bytes() {
            return out.toByteArray();
        }
    }

    static boolean isStream(int status) {
        return status == OK;
    }
}
