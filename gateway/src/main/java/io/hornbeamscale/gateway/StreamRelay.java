package io.hornbeamscale.gateway;

import io.hornbeamscale.core.admission.AdmissionRequest;
import io.hornbeamscale.core.admission.RepeatDetector;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.placement.GenerationSize;
import io.hornbeamscale.core.route.EngineSpec;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

/**
 * Relays a request whose response is a stream of events. The generation runs only once: if its server leaves, the state
 * is copied to another server, which continues where the first one stopped, and the caller receives a single stream.
 */
final class StreamRelay extends Relay {
    /** The greatest number of times that a stream is sent, including refused sends but not hand-overs. */
    private static final int MAX_SENDS = 3;

    private static final long RETRY_AFTER_MILLIS = 600;

    private final GenerationSize size;
    private final StreamCandidates candidates;
    private final RepeatDetector.Key identity;
    private final AdmissionRequest admission;
    private final StreamHandOver handOver = new StreamHandOver(this);
    private int sends;
    private StreamAttempt current;
    private boolean hasRun;
    private final EventTimes times = new EventTimes();
    private long lastId;

    StreamRelay(TrafficState traffic, HttpServerExchange exchange, RelayRequest request) {
        super(traffic, exchange, request);
        this.size = request.size();
        this.candidates = new StreamCandidates(traffic, request);
        this.identity = request.identity();
        this.admission = request.admission(traffic.repeatDetector().isRepeat(identity, ControlLoop.now()));
        this.lastId = request.lastEventId();
    }

    @Override
    void start(long nowMillis) {
        if (!traffic().waitingStreams().mayPlaceNow(admission, nowMillis) || !tryPlace()) {
            awaitRoom(nowMillis);
        }
    }

    @Override
    void cancelAttempts() {
        handOver.cancel();
    }

    @Override
    boolean mayHaveRun() {
        return hasRun || (current != null && current.isSent());
    }

    @Override
    void fleetChanged() {
        handOver.moveIfServerLeaves();
    }

    @Override
    void endIfQuarantined(long nowMillis) {
        boolean hasAdvanced = current != null && progress(current, nowMillis) == ResponseProgress.ADVANCED;
        if (isEnded() || hasAdvanced || !traffic().crashDetector().isQuarantined(request(), nowMillis)) {
            return;
        }
        if (mayHaveRun()) {
            failAsLost("the request was quarantined while a server began to run it");
        } else {
            failAsQuarantined();
        }
    }

    /** Sends the request to a server with room, if there is one. Returns whether it need not wait any longer. */
    boolean tryPlace() {
        return tryPlace(candidates::choose);
    }

    /** Does the same for a request that has waited, for which other entries have queued requests as well. */
    boolean tryPlaceQueued() {
        return tryPlace(candidates::chooseQueued);
    }

    private boolean tryPlace(LongFunction<Optional<FleetServer>> choice) {
        if (isEnded() || refuseIfStopping()) {
            return true;
        }
        long now = ControlLoop.now();
        if (traffic().crashDetector().isQuarantined(request(), now)) {
            // The request was quarantined while it waited for room.
            failAsQuarantined();
            return true;
        }
        Optional<FleetServer> chosen = choice.apply(now);
        if (chosen.isEmpty()) {
            return false;
        }
        sends++;
        traffic().eligibility().reserve(chosen.get(), now);
        current = new StreamAttempt(
                this, chosen.get(), Optional.empty(), candidates.backupFor(chosen.get(), now), lastId);
        traffic().admitted(this, admission, now);
        current.begin(now);
        return true;
    }

    /** Returns the id of the server that runs the stream, empty if none does. */
    Optional<String> serverId() {
        return current == null || current.isEnded()
                ? Optional.empty()
                : Optional.of(current.server().id());
    }

    /** Returns the attempt whose events the caller receives, null before the first one. */
    StreamAttempt current() {
        return current;
    }

    /** Returns the id of the last event that the caller has, 0 if it has none. */
    long lastId() {
        return lastId;
    }

    StreamCandidates candidates() {
        return candidates;
    }

    EngineSpec engine() {
        return request().service().engine().orElseThrow();
    }

    GenerationSize size() {
        return size;
    }

    /** Handles a refusal: the server has not run the request. */
    void notRun(StreamAttempt from, String why) {
        candidates.refused(from.server().id());
        if (handOver.isNext(from)) {
            handOver.failed(from, why);
            return;
        }
        long now = ControlLoop.now();
        current = null;
        boolean mayRepeat = sends < MAX_SENDS
                && traffic().repeats().tryRetry(request().service().name(), now);
        if (!mayRepeat) {
            fail(ErrorKind.OVERLOADED, RETRY_AFTER_MILLIS, why);
            return;
        }
        traffic().log().repeated(request(), from.server(), why);
        placeOrWait(now, why);
    }

    /** Handles a failed connect: the server has not received the request. */
    void notSent(StreamAttempt from, String why) {
        if (handOver.isNext(from)) {
            handOver.failed(from, why);
            return;
        }
        traffic().log().repeated(request(), from.server(), why);
        candidates.refused(from.server().id());
        current = null;
        if (sends >= MAX_SENDS) {
            fail(ErrorKind.NO_BACKEND, RETRY_AFTER_MILLIS, why);
        } else {
            placeOrWait(ControlLoop.now(), why);
        }
    }

    /**
     * Handles the head of a successful response.
     *
     * @return whether the body may be read; if not, the attempt is resumed or cancelled later
     */
    boolean accepted(StreamAttempt from, int status, HeaderMap headers) {
        hasRun = true;
        if (handOver.isNext(from)) {
            if (!handOver.accept(from)) {
                return false;
            }
            StreamAttempt previous = current;
            current = from;
            current.skipTo(lastId);
            handOver.completed(previous);
        }
        if (!response().isStarted()) {
            startForwarding(status, headers);
        }
        return true;
    }

    /** Handles events that the caller does not have yet. */
    void received(StreamAttempt from, byte[] events, boolean isFirstOfAttempt) {
        if (from != current) {
            return;
        }
        lastId = from.lastId();
        response().write(events);
        recordEvent();
        if (isFirstOfAttempt) {
            handOver.moveIfServerLeaves();
        }
    }

    /** Handles the end of the stream. */
    void completed(StreamAttempt from) {
        if (from != current) {
            failAsLost("the stream ended before it was handed over");
            return;
        }
        finishForwarding("server " + from.server().id());
        cancelAttempts();
        traffic().crashDetector().completed(request(), ControlLoop.now());
    }

    /** Handles an error response of a server that may have run the request. */
    void failedAtServer(StreamAttempt from, int status, HeaderMap headers, byte[] body) {
        hasRun = true;
        if (handOver.isNext(from)) {
            handOver.failed(from, "status " + status);
        } else {
            forwardResponse(status, headers, body, "server " + from.server().id());
        }
    }

    /** Handles a broken connection or a malformed response. */
    void connectionBroke(StreamAttempt from, String why) {
        hasRun = true;
        if (handOver.isNext(from)) {
            handOver.broke(from, why);
            return;
        }
        long now = ControlLoop.now();
        traffic().crashDetector().connectionBroke(from.server(), request(), progress(from, now), now);
        if (handOver.pending().isPresent()) {
            // The second server continues the stream, or its hand-over times out.
            handOver.stopRun(from, handOver.pending().get());
            return;
        }
        Optional<FleetServer> copy = handOver.backup();
        // A stream without events may have crashed its server, and would crash the next one.
        if (copy.isPresent() && times.hasEvents()) {
            traffic().log().repeated(request(), from.server(), why);
            handOver.stopRun(from, copy.get());
            handOver.continueFromBackup(copy.get());
        } else {
            failAsLost(why);
        }
    }

    @Override
    String detail() {
        return "events to " + lastId + ", " + times + ", hand-overs " + handOver.count();
    }

    /** Sends the request to a server that has not refused it, waits for such a server, or gives up if there is none. */
    private void placeOrWait(long nowMillis, String why) {
        if (tryPlace()) {
            return;
        }
        if (candidates.servers().isEmpty() || candidates.mayBecomeEligible(nowMillis)) {
            awaitRoom(nowMillis);
        } else {
            fail(ErrorKind.OVERLOADED, RETRY_AFTER_MILLIS, "no server is left after: " + why);
        }
    }

    private void recordEvent() {
        long now = ControlLoop.now();
        if (!times.hasEvents()) {
            traffic().metrics().firstEvent(now - request().arrivedAtMillis());
        }
        times.record(lastId, request().arrivedAtMillis(), now);
    }

    private ResponseProgress progress(StreamAttempt attempt, long nowMillis) {
        boolean isContinued = handOver.count() > 0 && times.hasEvents();
        return isContinued ? ResponseProgress.ADVANCED : attempt.progress(nowMillis);
    }

    private void failAsQuarantined() {
        fail(ErrorKind.REQUEST_QUARANTINED, -1, "the request has crashed servers");
    }

    /** Ends a stream that no server can continue. */
    void failAsLost(String why) {
        fail(ErrorKind.GENERATION_LOST, -1, why);
    }

    private void awaitRoom(long nowMillis) {
        List<FleetServer> servers = candidates.servers();
        if (!servers.isEmpty() && !candidates.mayBecomeEligible(nowMillis)) {
            String why = "no server accepts the request: " + candidates.ineligible(nowMillis);
            fail(ErrorKind.OVERLOADED, RETRY_AFTER_MILLIS, why);
            return;
        }
        long limit = admission.maxWaitMillis(nowMillis);
        long forbidden = candidates.forbiddenMillis(nowMillis);
        if (forbidden > limit) {
            String why = "the request would have to wait too long: " + candidates.ineligible(nowMillis);
            fail(ErrorKind.OVERLOADED, forbidden, why);
            return;
        }
        int ahead = traffic().waitingStreams().size();
        Optional<Long> retryAfterMillis = traffic()
                .waitingStreams()
                .offer(
                        this,
                        admission,
                        candidates.serversWithinLimits(),
                        traffic().random(),
                        nowMillis);
        if (retryAfterMillis.isPresent()) {
            refuse(retryAfterMillis.get(), "no server has room in time");
            return;
        }
        traffic().metrics().count("waited");
        traffic().log().waits(request(), servers.size(), candidates.ineligible(nowMillis), ahead, limit);
        traffic().scheduleStatus();
        traffic().placeWaitingAfterLimits();
        after(limit + 1, traffic()::placeWaiting);
    }

    /** Refuses the request, which has not been sent, for lack of capacity. */
    void refuse(long retryAfterMillis, String why) {
        traffic().repeatDetector().refused(identity, retryAfterMillis, ControlLoop.now());
        traffic()
                .log()
                .noRoom(request(), retryAfterMillis, traffic().waitingStreams().size());
        fail(ErrorKind.OVERLOADED, retryAfterMillis, why);
    }

    /** Runs a task after a time, unless the request has ended by then. */
    void after(long millis, Runnable task) {
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
