package io.hornbeamscale.gateway;

import io.hornbeamscale.core.admission.AdmissionRequest;
import io.hornbeamscale.core.admission.RepeatDetector;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.placement.GenerationSize;
import io.hornbeamscale.core.route.EngineSpec;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Relays a request whose response is a stream of events. The generation runs only once: if its server leaves, the state
 * is copied to another server, which continues where the first one stopped, and the caller receives a single stream.
 */
final class StreamRelay extends Relay {
    /** The greatest number of times that a stream is sent, including refused sends but not hand-overs. */
    private static final int MAX_SENDS = 3;

    private static final long RETRY_AFTER_MILLIS = 600;

    /**
     * How long the second server may take to continue the stream, in milliseconds; callers give up after about 6,000.
     */
    private static final long HAND_OVER_TIMEOUT_MILLIS = 4_000;

    /** How long a broken stream may wait for the limit of the server with its backup, in milliseconds. */
    private static final long MAX_CONTINUATION_WAIT_MILLIS = 1_500;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The expected length of a response from which on its state is backed up while it runs, in tokens. */
    private static final long MIN_BACKUP_TOKENS = 100;

    private final GenerationSize size;
    private final RepeatDetector.Key identity;
    private final AdmissionRequest admission;
    /**
     * The servers that refused the request or did not accept a connection. None of them gets the request again: a
     * server may repeat its refusal late, and nothing tells that copy from the response to a second send.
     */
    private final Set<String> refused = new HashSet<>();

    private int sends;
    private StreamAttempt current;
    private StreamAttempt next;
    private StreamMove move;
    private boolean hasRun;
    private long firstEventMillis = -1;
    private long lastEventAtMillis;
    private long longestGapMillis;
    private long longestGapBeforeId;
    private long lastId;
    private int handOvers;

    StreamRelay(TrafficState traffic, HttpServerExchange exchange, RelayRequest request) {
        super(traffic, exchange, request);
        this.size = request.size();
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
        if (move != null) {
            move.abandon();
        }
        if (next != null) {
            next.cancel();
        }
        if (current != null) {
            current.cancel();
        }
    }

    @Override
    boolean mayHaveRun() {
        return hasRun || (current != null && current.isSent());
    }

    @Override
    void fleetChanged() {
        moveIfServerLeaves();
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
        if (isEnded() || refuseIfStopping()) {
            return true;
        }
        long now = ControlLoop.now();
        if (traffic().crashDetector().isQuarantined(request(), now)) {
            // The request was quarantined while it waited for room.
            failAsQuarantined();
            return true;
        }
        List<FleetServer> servers = servers();
        Optional<FleetServer> chosen = traffic()
                .generationPlacement()
                .choose(servers, engine(), size, refused, now, traffic().random());
        if (chosen.isEmpty()) {
            return false;
        }
        sends++;
        traffic().limits().take(chosen.get().id(), now);
        current = new StreamAttempt(this, chosen.get(), Optional.empty(), backupFor(chosen.get(), now), lastId);
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

    EngineSpec engine() {
        return request().service().engine().orElseThrow();
    }

    GenerationSize size() {
        return size;
    }

    /**
     * Continues the stream at another server from a copy of its state. The first server runs until the response of the
     * second one starts, and is cancelled then.
     */
    void handOver(FleetServer to, Endpoint owner, String handle) {
        if (isEnded()) {
            return;
        }
        long now = ControlLoop.now();
        handOvers++;
        traffic().repeats().forceRetry(request().service().name(), now);
        Optional<String> last = lastId > 0 ? Optional.of(Long.toString(lastId)) : Optional.empty();
        StreamAttempt attempt = new StreamAttempt(
                this,
                to,
                Optional.of(new BackendRequestFields.Continuation(owner, handle, last)),
                backupFor(to, now),
                lastId);
        next = attempt;
        attempt.begin(now);
        after(HAND_OVER_TIMEOUT_MILLIS, () -> {
            if (next == attempt) {
                failAsLost("server " + to.id() + " did not continue the stream in time");
            }
        });
    }

    /** Handles a refusal: the server has not run the request. */
    void notRun(StreamAttempt from, String why) {
        refused.add(from.server().id());
        if (from == next) {
            handOverFailed(from, why);
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
        if (from == next) {
            handOverFailed(from, why);
            return;
        }
        traffic().log().repeated(request(), from.server(), why);
        refused.add(from.server().id());
        current = null;
        if (sends >= MAX_SENDS) {
            fail(ErrorKind.NO_BACKEND, RETRY_AFTER_MILLIS, why);
        } else {
            placeOrWait(ControlLoop.now(), why);
        }
    }

    /** Handles the head of a successful response. */
    void accepted(StreamAttempt from, int status, HeaderMap headers) {
        hasRun = true;
        if (from == next) {
            next = null;
            current.cancel();
            current = from;
            current.skipTo(lastId);
        }
        if (!response().isStarted()) {
            startForwarding(status, headers);
        }
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
            moveIfServerLeaves();
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
        if (from == next) {
            handOverFailed(from, "status " + status);
        } else {
            forwardResponse(status, headers, body, "server " + from.server().id());
        }
    }

    /** Handles a broken connection or a malformed response. */
    void connectionBroke(StreamAttempt from, String why) {
        hasRun = true;
        if (from == next) {
            handOverFailed(from, why);
            return;
        }
        long now = ControlLoop.now();
        traffic().crashDetector().connectionBroke(from.server(), request(), progress(from, now), now);
        if (next != null) {
            // The second server continues the stream, or its hand-over times out.
            return;
        }
        Optional<FleetServer> copy = usableBackup();
        // A stream without events may have crashed its server, and would crash the next one.
        if (copy.isPresent() && firstEventMillis >= 0) {
            traffic().log().repeated(request(), from.server(), why);
            continueFromBackup(copy.get());
        } else {
            failAsLost(why);
        }
    }

    /** Handles the end of the move. */
    void moveEnded() {
        move = null;
    }

    @Override
    String detail() {
        return "events to " + lastId + ", first after " + firstEventMillis + " ms, longest gap " + longestGapMillis
                + " ms to event " + longestGapBeforeId + ", hand-overs " + handOvers;
    }

    private void handOverFailed(StreamAttempt from, String why) {
        next = null;
        traffic().log().repeated(request(), from.server(), why);
        if (current.isEnded()) {
            failAsLost("no server can continue the stream: " + why);
            return;
        }
        startMove();
    }

    private void moveIfServerLeaves() {
        if (isEnded() || move != null || next != null || current == null || !current.hasEvents() || current.isEnded()) {
            return;
        }
        boolean isLeaving =
                traffic().server(current.server().id()).map(s -> !s.isReady()).orElse(true);
        if (!isLeaving) {
            return;
        }
        Optional<FleetServer> copy = usableBackup();
        boolean isWithinLimit =
                copy.isPresent() && traffic().limits().waitMillis(copy.get().id(), ControlLoop.now()) == 0;
        if (isWithinLimit) {
            continueFromBackup(copy.get());
        } else {
            startMove();
        }
    }

    /** Continues the stream at the server with the backup, once the limit of that server allows it. */
    private void continueFromBackup(FleetServer copy) {
        long now = ControlLoop.now();
        long wait = traffic().limits().waitMillis(copy.id(), now);
        if (wait > MAX_CONTINUATION_WAIT_MILLIS) {
            failAsLost("server " + copy.id() + " with the backup takes no request within its limit");
            return;
        }
        traffic().limits().take(copy.id(), now);
        Endpoint address = copy.registration().address();
        if (wait == 0) {
            handOver(copy, address, request().id());
        } else {
            after(wait, () -> handOver(copy, address, request().id()));
        }
    }

    private void startMove() {
        if (engine().canMove()) {
            move = new StreamMove(this, current);
            move.begin(ControlLoop.now());
        }
    }

    /** Returns the servers that must not get the request, or a continuation of it, again. */
    Set<String> refused() {
        return Set.copyOf(refused);
    }

    /** Sends the request to a server that has not refused it, waits for such a server, or gives up if there is none. */
    private void placeOrWait(long nowMillis, String why) {
        if (tryPlace()) {
            return;
        }
        List<FleetServer> servers = servers();
        if (!servers.isEmpty() && servers.stream().allMatch(s -> refused.contains(s.id()))) {
            fail(ErrorKind.OVERLOADED, RETRY_AFTER_MILLIS, "no server is left after: " + why);
        } else {
            awaitRoom(nowMillis);
        }
    }

    private Optional<FleetServer> usableBackup() {
        return current.backup()
                .filter(b -> !refused.contains(b.id()))
                .flatMap(b -> traffic().server(b.id()))
                .filter(b -> b.isReady() && traffic().health().isUsable(b.id(), ControlLoop.now()));
    }

    private Optional<FleetServer> backupFor(FleetServer server, long nowMillis) {
        if (!engine().canBackUp() || size.expectedTokens() < MIN_BACKUP_TOKENS) {
            return Optional.empty();
        }
        return traffic()
                .generationPlacement()
                .chooseBackup(
                        servers().stream()
                                .filter(s -> !refused.contains(s.id()))
                                .toList(),
                        engine(),
                        size,
                        server,
                        nowMillis,
                        traffic().random());
    }

    private List<FleetServer> servers() {
        return traffic().fleet().ready(request().service().name());
    }

    private void recordEvent() {
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

    private ResponseProgress progress(StreamAttempt attempt, long nowMillis) {
        boolean isContinued = handOvers > 0 && firstEventMillis >= 0;
        return isContinued ? ResponseProgress.ADVANCED : attempt.progress(nowMillis);
    }

    private void failAsQuarantined() {
        fail(ErrorKind.REQUEST_QUARANTINED, -1, "the request has crashed servers");
    }

    private void failAsLost(String why) {
        fail(ErrorKind.GENERATION_LOST, -1, why);
    }

    private void awaitRoom(long nowMillis) {
        int ahead = traffic().waitingStreams().size();
        Optional<Long> retryAfterMillis = traffic()
                .waitingStreams()
                .offer(this, admission, serversWithinLimits(), traffic().random(), nowMillis);
        if (retryAfterMillis.isPresent()) {
            refuse(retryAfterMillis.get(), "no server has room in time");
            return;
        }
        traffic().metrics().count("waited");
        long limit = admission.maxWaitMillis(nowMillis);
        traffic().log().waits(request(), servers().size(), ahead, limit);
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

    /** Returns the number of servers, of which those with a limit count by the prompts that it allows this entry. */
    private double serversWithinLimits() {
        double promptsPerSecond =
                AdmissionRequest.PREFILL_TOKENS_PER_MILLI * MILLIS_PER_SECOND / Math.max(1, size.promptTokens());
        return servers().stream()
                .mapToDouble(server -> traffic().limits().requestsPerSecond(server.id()))
                .map(limit -> Math.min(1, limit / promptsPerSecond))
                .sum();
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
