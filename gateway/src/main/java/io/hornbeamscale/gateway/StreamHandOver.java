package io.hornbeamscale.gateway;

import io.hornbeamscale.core.eligibility.IneligibleReason;
import io.hornbeamscale.core.eligibility.Verdict;
import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.stream.RunTermination;
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

    /**
     * How long the response of the second server may wait for the result of an order to stop, in milliseconds; both
     * servers work on the stream meanwhile.
     */
    private static final long MAX_UNDECIDED_MILLIS = 100;

    /** How long a broken stream may wait for the limit of the server with its backup, in milliseconds. */
    private static final long MAX_CONTINUATION_WAIT_MILLIS = 1_500;

    private final StreamRelay relay;
    private StreamAttempt next;
    private boolean hasResponded;
    private StreamMove move;
    private HandOverCheck check;

    /** The last attempt whose server was ordered to stop the run. */
    private StreamAttempt stopped;

    /** The orders to the last second server whose connection broke before it responded. */
    private RunStop secondStop;

    private int handOvers;

    StreamHandOver(StreamRelay relay) {
        this.relay = relay;
    }

    /** Returns whether an attempt is the one at the second server, which has not responded. */
    boolean isNext(StreamAttempt attempt) {
        return next == attempt;
    }

    /** Returns the server that was asked to continue the stream and has not responded, empty for none. */
    Optional<FleetServer> pending() {
        return Optional.ofNullable(next).map(StreamAttempt::server);
    }

    /** Returns how often a second server was asked to continue the stream. */
    int count() {
        return handOvers;
    }

    /**
     * Ends the copy and the attempts in progress. During a hand-over both servers are ordered to stop, as the second
     * one may begin at any time.
     */
    void cancel() {
        abandonMove();
        StreamAttempt first = relay.current();
        boolean isRunning = first != null && !first.isEnded();
        if (isRunning) {
            first.cancel();
        }
        if (next == null) {
            return;
        }
        StreamAttempt second = next;
        next = null;
        second.cancel();
        stopRun(second, first.server());
        if (isRunning) {
            stopRun(first, second.server());
        }
    }

    private void abandonMove() {
        if (move != null) {
            move.abandon();
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

    /** Continues the stream at the server with the backup, and nowhere else, once that server may get a request. */
    void continueFromBackup(FleetServer copy) {
        abandonMove();
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
        hasResponded = false;
        attempt.begin(now);
        beginCheck(attempt, now);
        relay.after(TIMEOUT_MILLIS, () -> {
            if (next == attempt) {
                giveUp(attempt, "server " + to.id() + " did not continue the stream in time");
            }
        });
    }

    /**
     * Handles the head of the response of the second server. If an order to stop it is under way, the result decides.
     *
     * @return whether the stream goes on there; the caller ends the present attempt with {@link #completed}
     */
    boolean accept(StreamAttempt second) {
        if (check != null && check.isOrdered() && !relay.current().isEnded()) {
            if (!hasResponded) {
                hasResponded = true;
                relay.after(MAX_UNDECIDED_MILLIS, () -> endUndecided(second));
            }
            return false;
        }
        next = null;
        return true;
    }

    private void endUndecided(StreamAttempt second) {
        if (next != second) {
            return;
        }
        if (relay.current().isEnded()) {
            second.resume();
        } else {
            giveUp(second, "server " + second.server().id() + " responded after it was ordered to stop");
        }
    }

    /** Ends the run at the first server, as the stream goes on at the second one. */
    void completed(StreamAttempt previous) {
        previous.cancel();
        stopRun(previous, relay.current().server());
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
        stopRun(from, relay.current().server());
        failed(from, why);
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

    /** Checks that the second server does not work on the stream without a response. */
    private void beginCheck(StreamAttempt second, long nowMillis) {
        StreamAttempt first = relay.current();
        if (!relay.engine().canMove()) {
            return;
        }
        check = new HandOverCheck(
                relay.traffic(),
                stopOrder(second, first.server()),
                () -> !relay.isEnded() && next == second && !hasResponded && !first.isEnded(),
                hadBegun -> ordered(second, hadBegun),
                nowMillis);
        check.proceed();
    }

    /** Handles the result of an order to stop. Returns whether the check goes on. */
    private boolean ordered(StreamAttempt second, boolean hadBegun) {
        if (hadBegun && secondStop != null && stopped == second) {
            // The server closes the stream before it confirms that it has stopped.
            secondStop.stopped();
        }
        if (relay.isEnded() || next != second) {
            return false;
        }
        if (hadBegun) {
            stopped = second;
            giveUp(second, "server " + second.server().id() + " ran the stream without a response");
            return false;
        }
        if (hasResponded && !check.isOrdered()) {
            second.resume();
        }
        return !hasResponded;
    }

    /** Ends the attempt at the second server, which has not responded as it should. */
    private void giveUp(StreamAttempt second, String why) {
        if (stopped != second || check.isOrdered()) {
            // It may still get an order to stop, which would end a later continuation as well.
            relay.candidates().refused(second.server().id());
        }
        second.cancel();
        relay.connectionBroke(second, why);
    }

    /**
     * Makes sure that a server, whose connection is closed, does not work on the stream any more.
     *
     * @param previous the attempt at the server
     * @param present the server at which the stream goes on
     */
    void stopRun(StreamAttempt previous, FleetServer present) {
        FleetServer server = previous.server();
        if (relay.engine().canMove() && stopped != previous) {
            stopped = previous;
            boolean mayBegin =
                    !previous.hasBegun() && !relay.isEnded() && !relay.current().isEnded();
            long now = ControlLoop.now();
            RunTermination termination = mayBegin
                    ? RunTermination.ofUnbegun(now, now + relay.request().remainingMillis(now))
                    : new RunTermination(now);
            RunStop stop = new RunStop(
                    relay.traffic(), stopOrder(previous, present), () -> isSentTo(server), relay::isEnded, termination);
            if (mayBegin) {
                // A run that begins later has the same id as one that is sent there again, which no order may stop.
                relay.candidates().stopping(server.id());
                stop.setOnOver(() -> relay.candidates().stopped(server.id()));
                secondStop = stop;
            }
            stop.proceed();
        }
    }

    private StopOrder stopOrder(StreamAttempt attempt, FleetServer other) {
        Endpoint copyTo = other.registration().address();
        return new StopOrder(relay.traffic(), relay.request(), attempt.server(), copyTo);
    }

    private boolean isSentTo(FleetServer server) {
        StreamAttempt current = relay.current();
        boolean isCurrent = !current.isEnded() && current.server().id().equals(server.id());
        return isCurrent || (next != null && next.server().id().equals(server.id()));
    }
}
