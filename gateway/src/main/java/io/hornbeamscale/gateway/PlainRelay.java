package io.hornbeamscale.gateway;

import io.hornbeamscale.core.eligibility.SendTerms;
import io.hornbeamscale.core.error.BackendResponses;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.placement.PlainPlacement;
import io.undertow.server.HttpServerExchange;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Relays a request that is not streamed. The response is read in full before it is sent to the caller. */
final class PlainRelay extends Relay {
    /** The greatest number of times that a request is sent, including refused sends. */
    private static final int MAX_SENDS = 3;

    /** The share of the remaining time that a request may wait until a server may get it; the rest is needed to run. */
    private static final double MAX_WAIT_SHARE = 0.4;

    private static final long RETRY_AFTER_MILLIS = 300;

    private final Set<String> tried = new HashSet<>();

    /** The attempts that wait for a response: one, or two while the request is hedged. */
    private final List<PlainAttempt> inFlight = new ArrayList<>();

    private final PlainHedge hedge;
    private int sends;

    /** The number of sends that a server may have run. */
    private int runs;

    PlainRelay(TrafficState traffic, HttpServerExchange exchange, RelayRequest request) {
        super(traffic, exchange, request);
        hedge = new PlainHedge(this);
    }

    @Override
    void start(long nowMillis) {
        send(nowMillis);
    }

    @Override
    void cancelAttempts() {
        hedge.stop();
        boolean isHedged = inFlight.size() > 1;
        for (PlainAttempt each : List.copyOf(inFlight)) {
            each.cancel();
            if (isHedged && each.isHedge()) {
                hedge.cancelled(each, ControlLoop.now());
            }
        }
    }

    @Override
    boolean mayHaveRun() {
        return runs > 0;
    }

    @Override
    void fleetChanged() {
        // A leaving server completes the requests that it runs.
    }

    @Override
    void endIfQuarantined(long nowMillis) {
        if (!isEnded() && traffic().crashDetector().isQuarantined(request(), nowMillis)) {
            failAsQuarantined();
        }
    }

    private void failAsQuarantined() {
        String why = "the request has crashed servers";
        if (runs > 0) {
            fail(ErrorKind.OUTCOME_UNKNOWN, -1, why);
        } else {
            fail(ErrorKind.REQUEST_QUARANTINED, -1, why);
        }
    }

    private void send(long nowMillis) {
        if (refuseIfStopping()) {
            return;
        }
        if (traffic().crashDetector().isQuarantined(request(), nowMillis)) {
            failAsQuarantined();
            return;
        }
        List<FleetServer> servers = servers();
        Optional<PlainPlacement.Choice> chosen = traffic()
                .plainPlacement()
                .choose(servers, terms(), nowMillis, traffic().random());
        if (chosen.isEmpty()) {
            failWithoutServer(servers, nowMillis);
            return;
        }
        FleetServer server = chosen.get().server();
        long wait = chosen.get().waitMillis();
        if (!isWaitAcceptable(wait, nowMillis)) {
            String why = traffic().eligibility().summary(servers, terms(), nowMillis);
            if (runs > 0) {
                fail(ErrorKind.OUTCOME_UNKNOWN, -1, "the repeat would have to wait too long: " + why);
            } else {
                fail(ErrorKind.OVERLOADED, wait, "the request would have to wait too long: " + why);
            }
            return;
        }
        traffic().eligibility().reserve(server, nowMillis);
        if (wait == 0) {
            begin(server, nowMillis);
        } else {
            traffic().thread().executeAfter(() -> beginDeferred(server), wait, TimeUnit.MILLISECONDS);
        }
    }

    private void failWithoutServer(List<FleetServer> servers, long nowMillis) {
        if (runs > 0) {
            fail(ErrorKind.OUTCOME_UNKNOWN, -1, "no other server to repeat the request at");
            return;
        }
        String why = traffic().eligibility().summary(servers, terms(), nowMillis);
        fail(
                servers.isEmpty() ? ErrorKind.NO_BACKEND : ErrorKind.OVERLOADED,
                RETRY_AFTER_MILLIS,
                "no server accepts the request" + (why.isEmpty() ? "" : ": " + why));
    }

    private void beginDeferred(FleetServer server) {
        if (isEnded()) {
            return;
        }
        long now = ControlLoop.now();
        boolean isEligible = traffic()
                .server(server.id())
                .map(s -> traffic()
                        .eligibility()
                        .check(s, terms().reservedAt(s.id()), now)
                        .isAllowed())
                .orElse(false);
        if (isEligible && !traffic().stop().isRefused(request())) {
            begin(server, now);
        } else {
            send(now);
        }
    }

    /** Returns the terms of the next send. */
    SendTerms terms() {
        return request().terms().excluding(tried);
    }

    /** Returns the servers that take requests of the service. */
    List<FleetServer> servers() {
        return traffic().fleet().ready(request().service().name());
    }

    /** Returns the ids of the servers that the request was sent to. */
    Set<String> tried() {
        return Set.copyOf(tried);
    }

    /** Returns the greatest number of servers that the request is sent to. */
    int maxServers() {
        return Math.min(MAX_SENDS, request().route().maxServers());
    }

    private void begin(FleetServer server, long nowMillis) {
        hedge.plan(beginAttempt(server, false, nowMillis), nowMillis);
    }

    /** Sends the request to a second server while the first one still has it. */
    void beginHedge(FleetServer server, long nowMillis) {
        beginAttempt(server, true, nowMillis);
    }

    private PlainAttempt beginAttempt(FleetServer server, boolean isHedge, long nowMillis) {
        PlainAttempt attempt = new PlainAttempt(this, server, isHedge, nowMillis);
        tried.add(server.id());
        sends++;
        runs++;
        inFlight.add(attempt);
        attempt.begin(sends, mayRunAgain(), nowMillis);
        return attempt;
    }

    /** Handles the end of an attempt, however it ends. */
    void attemptEnded(PlainAttempt attempt) {
        inFlight.remove(attempt);
        if (!attempt.isHedge()) {
            hedge.stop();
        }
    }

    /** Handles a complete response of a server that ran the request. */
    void completed(PlainAttempt from, boolean isFailure, boolean isUnsigned, long nowMillis) {
        boolean isUsable = !isFailure && !isUnsigned && !BackendResponses.isNotRunStatus(from.status());
        if (!isUsable && awaitsOther(from, "status " + from.status(), nowMillis)) {
            return;
        }
        if ((isFailure || isUnsigned) && mayRunAgain() && hasOtherServer(nowMillis) && tryRepeat(nowMillis)) {
            traffic().log().repeated(request(), from.server(), "status " + from.status());
            send(nowMillis);
        } else if (isUnsigned) {
            fail(ErrorKind.BACKEND_FAILED, -1, "the response is not signed");
        } else {
            if (isUsable) {
                hedge.answered(from, nowMillis);
            }
            for (PlainAttempt other : List.copyOf(inFlight)) {
                other.cancel();
                hedge.cancelled(other, nowMillis);
            }
            traffic().crashDetector().completed(request(), nowMillis);
            forwardResponse(
                    from.status(),
                    from.headers(),
                    from.body(),
                    "server " + from.server().id());
        }
    }

    /** Handles a refusal: the server has not run the request. */
    void refused(PlainAttempt from, long nowMillis) {
        runs--;
        String why = "the server refused with status " + from.status();
        if (awaitsOther(from, why, nowMillis)) {
            return;
        }
        if (hasOtherServer(nowMillis) && tryRepeat(nowMillis)) {
            traffic().log().repeated(request(), from.server(), why);
            send(nowMillis);
        } else if (runs > 0) {
            fail(ErrorKind.OUTCOME_UNKNOWN, -1, "a repeat was refused");
        } else {
            fail(ErrorKind.OVERLOADED, RETRY_AFTER_MILLIS, "refused with status " + from.status());
        }
    }

    /** Handles a failed connect: the server has not received the request. */
    void notSent(PlainAttempt from, String reason, long nowMillis) {
        runs--;
        if (awaitsOther(from, reason, nowMillis)) {
            return;
        }
        traffic().log().repeated(request(), from.server(), reason);
        if (sends < MAX_SENDS) {
            send(nowMillis);
        } else {
            fail(ErrorKind.NO_BACKEND, RETRY_AFTER_MILLIS, reason);
        }
    }

    /** Handles a broken connection or an invalid response: the server may have run the request. */
    void broke(PlainAttempt from, String reason, long nowMillis) {
        if (awaitsOther(from, reason, nowMillis)) {
            return;
        }
        if (mayRunAgain() && hasOtherServer(nowMillis) && tryRepeat(nowMillis)) {
            traffic().log().repeated(request(), from.server(), reason);
            send(nowMillis);
        } else {
            fail(ErrorKind.OUTCOME_UNKNOWN, -1, reason);
        }
    }

    /** Sends the request again in place of an overdue attempt, unless another attempt is in flight. */
    void timedOut(PlainAttempt from, long nowMillis) {
        if (inFlight.size() > 1 || !mayRunAgain() || !hasOtherServer(nowMillis) || !tryRepeat(nowMillis)) {
            return;
        }
        from.cancel();
        hedge.gaveUp(from, nowMillis);
        traffic().health().failed(from.server().id(), nowMillis);
        traffic().log().repeated(request(), from.server(), "no response yet");
        send(nowMillis);
    }

    /** Returns whether another attempt may still be answered, so that the end of this one does not end the request. */
    private boolean awaitsOther(PlainAttempt ended, String why, long nowMillis) {
        if (inFlight.isEmpty()) {
            return false;
        }
        traffic().log().repeated(request(), ended.server(), why);
        PlainAttempt other = inFlight.get(0);
        if (other.isOverdue()) {
            timedOut(other, nowMillis);
        }
        return true;
    }

    private boolean isRepeatable() {
        return request().route().kind().isRepeatable();
    }

    private boolean mayRunAgain() {
        return isRepeatable() && runs < request().route().maxServers();
    }

    private boolean tryRepeat(long nowMillis) {
        return sends < MAX_SENDS
                && request().remainingMillis(nowMillis) > RESPONSE_MARGIN_MILLIS
                && traffic().repeats().tryRetry(request().service().name(), nowMillis);
    }

    private boolean hasOtherServer(long nowMillis) {
        return traffic()
                .plainPlacement()
                .choose(servers(), terms(), nowMillis, traffic().random())
                .filter(choice -> isWaitAcceptable(choice.waitMillis(), nowMillis))
                .isPresent();
    }

    private boolean isWaitAcceptable(long waitMillis, long nowMillis) {
        return waitMillis <= MAX_WAIT_SHARE * request().remainingMillis(nowMillis);
    }
}
