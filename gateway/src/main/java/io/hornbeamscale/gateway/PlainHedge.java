package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.hedge.HedgeAnswer;
import io.hornbeamscale.core.hedge.HedgeCandidate;
import io.hornbeamscale.core.hedge.HedgeDenial;
import io.hornbeamscale.core.hedge.HedgeRequest;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/**
 * Sends a plain request to a second server when its first one is slow and the hedging decision allows it. All methods
 * run on the traffic thread.
 */
final class PlainHedge {
    private final PlainRelay relay;
    private final TrafficState traffic;
    private final RelayRequest request;
    private XnioExecutor.Key timer;
    private boolean isSent;

    PlainHedge(PlainRelay relay) {
        this.relay = relay;
        this.traffic = relay.traffic();
        this.request = relay.request();
    }

    /** Schedules the question whether to hedge a send that was just made. */
    void plan(PlainAttempt attempt, long nowMillis) {
        if (attempt.isEnded()) {
            return;
        }
        HedgeAnswer answer = traffic.hedging().decide(facts(attempt, nowMillis), List.of(), nowMillis);
        if (answer instanceof HedgeAnswer.AskAgain again) {
            schedule(attempt, again.atMillis(), nowMillis);
        }
    }

    /** Gives up the planned question. */
    void stop() {
        if (timer != null) {
            timer.remove();
            timer = null;
        }
    }

    /** Records a complete, usable response and how long it took. */
    void answered(PlainAttempt winner, long nowMillis) {
        record(winner, nowMillis);
        if (winner.isHedge()) {
            traffic.metrics().count("hedges_won");
        }
    }

    /** Records that a send was given up because it took too long; its response would have taken longer. */
    void gaveUp(PlainAttempt attempt, long nowMillis) {
        record(attempt, nowMillis);
    }

    /**
     * Records that a send was cancelled while another send of the request was in flight or had been answered, and the
     * time that its server spent on it. The time says that a server is slow only of a first send: a hedge starts later.
     */
    void cancelled(PlainAttempt attempt, long nowMillis) {
        long millis = nowMillis - attempt.sentAtMillis();
        traffic.metrics().hedgeCancelled(millis);
        if (!attempt.isHedge()) {
            record(attempt, nowMillis);
            traffic.health().cancelled(attempt.server().id(), millis);
        }
    }

    private void record(PlainAttempt attempt, long nowMillis) {
        if (request.route().kind().isRepeatable()) {
            traffic.hedging().responded(request.service().name(), nowMillis - attempt.sentAtMillis(), nowMillis);
        }
    }

    private void schedule(PlainAttempt attempt, long atMillis, long nowMillis) {
        timer = traffic.thread().executeAfter(() -> ask(attempt), atMillis - nowMillis, TimeUnit.MILLISECONDS);
    }

    private void ask(PlainAttempt attempt) {
        timer = null;
        long now = ControlLoop.now();
        boolean isOver = relay.isEnded() || attempt.isEnded() || traffic.stop().isStopping();
        if (isOver || traffic.crashDetector().isQuarantined(request, now)) {
            return;
        }
        List<HedgeCandidate> candidates = traffic.hedgeCandidates().of(relay.servers(), relay.terms(), now);
        HedgeAnswer answer = traffic.hedging().decide(facts(attempt, now), candidates, now);
        if (answer instanceof HedgeAnswer.Send send) {
            traffic.server(send.server()).ifPresent(server -> send(attempt, server, now));
        } else if (answer instanceof HedgeAnswer.AskAgain again) {
            again.denial().ifPresent(this::countDenied);
            schedule(attempt, again.atMillis(), now);
        } else if (answer instanceof HedgeAnswer.Never never) {
            countDenied(never.denial());
        }
    }

    private void send(PlainAttempt first, FleetServer server, long nowMillis) {
        isSent = true;
        traffic.eligibility().reserve(server, nowMillis);
        traffic.metrics().count("hedges_sent");
        traffic.log()
                .hedged(
                        request,
                        first.server(),
                        server,
                        nowMillis - first.sentAtMillis(),
                        traffic.plainPlacement().estimateMillis(server, nowMillis));
        relay.beginHedge(server, nowMillis);
    }

    private void countDenied(HedgeDenial denial) {
        traffic.metrics().count("hedges_denied." + denial.code());
    }

    private HedgeRequest facts(PlainAttempt attempt, long nowMillis) {
        return new HedgeRequest(
                request.service().name(),
                request.customerName(),
                request.route().kind().isRepeatable(),
                relay.tried(),
                relay.maxServers(),
                attempt.isResponseBegun(),
                isSent,
                attempt.sentAtMillis(),
                traffic.plainPlacement().estimateMillis(attempt.server(), nowMillis),
                request.deadlineMillis() - Relay.RESPONSE_MARGIN_MILLIS);
    }
}
