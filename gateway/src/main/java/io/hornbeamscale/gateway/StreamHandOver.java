package io.hornbeamscale.gateway;

import io.hornbeamscale.core.eligibility.IneligibleReason;
import io.hornbeamscale.core.eligibility.Verdict;
import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetServer;
import java.util.Optional;

/**
 * Continues a stream at a second server from a copy of its state, when its server leaves or its connection breaks. All
 * methods run on the traffic thread.
 */
final class StreamHandOver {
    /**
     * How long the second server may take to continue the stream, in milliseconds; callers give up after about 6,000.
     */
    private static final long TIMEOUT_MILLIS = 4_000;

    /** How long a broken stream may wait for the limit of the server with its backup, in milliseconds. */
    private static final long MAX_CONTINUATION_WAIT_MILLIS = 1_500;

    private final StreamRelay relay;
    private StreamAttempt next;
    private StreamMove move;
    private int handOvers;

    StreamHandOver(StreamRelay relay) {
        this.relay = relay;
    }

    /** Returns whether an attempt is the one at the second server, which has not responded. */
    boolean isNext(StreamAttempt attempt) {
        return next == attempt;
    }

    /** Returns whether a second server was asked to continue the stream and has not responded. */
    boolean isPending() {
        return next != null;
    }

    /** Returns how often a second server was asked to continue the stream. */
    int count() {
        return handOvers;
    }

    /** Cancels the copy and the attempt in progress. */
    void cancel() {
        if (move != null) {
            move.abandon();
        }
        if (next != null) {
            next.cancel();
        }
    }

    /** Begins to move the stream if its server leaves. */
    void moveIfServerLeaves() {
        StreamAttempt current = relay.current();
        boolean isMovable = current != null && current.hasEvents() && !current.isEnded();
        if (relay.isEnded() || move != null || next != null || !isMovable) {
            return;
        }
        boolean isLeaving = relay.traffic()
                .server(current.server().id())
                .map(relay.traffic().eligibility()::isLeaving)
                .orElse(true);
        if (!isLeaving) {
            return;
        }
        Optional<FleetServer> copy = backup();
        boolean isAllowedNow = copy.isPresent()
                && relay.candidates().check(copy.get(), ControlLoop.now()).isAllowed();
        if (isAllowedNow) {
            continueFromBackup(copy.get());
        } else {
            startMove();
        }
    }

    /** Returns the server with the backup of the present run, if it may get the stream. */
    Optional<FleetServer> backup() {
        return relay.candidates().usable(relay.current().backup(), ControlLoop.now());
    }

    /** Continues the stream at the server with the backup, once that server may get a request. */
    void continueFromBackup(FleetServer copy) {
        long now = ControlLoop.now();
        long wait = relay.candidates().check(copy, now).waitMillis(now);
        if (wait > MAX_CONTINUATION_WAIT_MILLIS) {
            relay.failAsLost("server " + copy.id() + " with the backup takes no request soon enough");
            return;
        }
        relay.traffic().eligibility().reserve(copy, now);
        Endpoint address = copy.registration().address();
        String handle = relay.request().id();
        if (wait == 0) {
            begin(copy, address, handle);
        } else {
            relay.after(wait, () -> begin(copy, address, handle));
        }
    }

    /**
     * Asks a second server to continue the stream from a copy of its state. The first server runs until the response of
     * the second one starts, and is stopped then.
     */
    void begin(FleetServer to, Endpoint owner, String handle) {
        if (relay.isEnded()) {
            return;
        }
        long now = ControlLoop.now();
        Verdict verdict = relay.candidates().checkReserved(to.id(), now);
        if (!verdict.isAllowed()) {
            continueElsewhere("server " + to.id() + " must not get the stream: "
                    + verdict.reason().map(IneligibleReason::code).orElse(""));
            return;
        }
        handOvers++;
        relay.traffic().repeats().forceRetry(relay.request().service().name(), now);
        long lastId = relay.lastId();
        Optional<String> last = lastId > 0 ? Optional.of(Long.toString(lastId)) : Optional.empty();
        StreamAttempt attempt = new StreamAttempt(
                relay,
                to,
                Optional.of(new BackendRequestFields.Continuation(owner, handle, last)),
                relay.candidates().backupFor(to, now),
                lastId);
        next = attempt;
        attempt.begin(now);
        relay.after(TIMEOUT_MILLIS, () -> {
            if (next == attempt) {
                relay.failAsLost("server " + to.id() + " did not continue the stream in time");
            }
        });
    }

    /** Handles the response of the second server, at which the stream goes on: ends the run at the first server. */
    void accepted(StreamAttempt previous) {
        StreamAttempt present = next;
        next = null;
        previous.cancel();
        stopRun(previous, present);
    }

    /** Handles the end of the attempt at the second server without a response. */
    void failed(StreamAttempt from, String why) {
        next = null;
        relay.traffic().log().repeated(relay.request(), from.server(), why);
        continueElsewhere(why);
    }

    /** Handles a broken connection to the second server, or a malformed response. */
    void broke(StreamAttempt from, String why) {
        // The server may have begun to continue the stream, which goes on at its first server or at a third one.
        failed(from, why);
        stopRun(from, relay.current());
    }

    /** Handles the end of the move. */
    void moveEnded() {
        move = null;
    }

    private void continueElsewhere(String why) {
        if (relay.current().isEnded()) {
            relay.failAsLost("no server can continue the stream: " + why);
            return;
        }
        startMove();
    }

    private void startMove() {
        if (relay.engine().canMove()) {
            move = new StreamMove(relay, this, relay.current());
            move.begin(ControlLoop.now());
        }
    }

    /** Makes sure that a server does not work on the stream any more, which goes on at another server. */
    private void stopRun(StreamAttempt previous, StreamAttempt present) {
        FleetServer server = previous.server();
        if (relay.engine().canMove()) {
            Endpoint runsAt = present.server().registration().address();
            RunStop stop = new RunStop(
                    relay.traffic(), relay.request(), server, runsAt, () -> isSentTo(server), ControlLoop.now());
            stop.proceed();
        }
    }

    private boolean isSentTo(FleetServer server) {
        StreamAttempt current = relay.current();
        boolean isCurrent = !current.isEnded() && current.server().id().equals(server.id());
        return isCurrent || (next != null && next.server().id().equals(server.id()));
    }
}
