package io.hornbeamscale.core.hedge;

import io.hornbeamscale.core.util.Arguments;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides whether and when a request whose response is late is sent to a second server. A hedge becomes due when the
 * send has taken longer than a quantile of the recent response times of the service. Not safe for use by several
 * threads.
 */
public final class HedgeDecision {
    /** The quantile that stands for the time a second response usually takes. */
    private static final double USUAL_QUANTILE = 0.5;

    /** The share of taken slots from which on servers count as overloaded; the rest is for first sends. */
    private static final double OVERLOAD_SHARE = 0.7;

    private final HedgeBudget budget;
    private final ResponseTimes times = new ResponseTimes();
    private final ArrivalRates arrivals = new ArrivalRates();

    /**
     * Creates a decision that knows no response times.
     *
     * @param budget the limits of hedges, not null
     */
    public HedgeDecision(HedgeBudget budget) {
        this.budget = Arguments.notNull(budget, "budget");
    }

    /**
     * Records the arrival of a request of any kind.
     *
     * @param service the service that it goes to, not null
     * @param customer the name of its customer, empty for none, not null
     * @param nowMillis the present time
     */
    public void arrived(String service, String customer, long nowMillis) {
        budget.recordRequest(service, customer, nowMillis);
        arrivals.arrived(service, nowMillis);
    }

    /**
     * Records a response time. See {@link ResponseTimes#record}.
     *
     * @param service the service, not null
     * @param millis the time from sending to the end of the response, in milliseconds
     * @param nowMillis the present time
     */
    public void responded(String service, long millis, long nowMillis) {
        times.record(service, millis, nowMillis);
    }

    /**
     * Replaces the limits. See {@link HedgeBudget#setLimits}.
     *
     * @param policy the policy, not null
     * @param windowMillis the length of the window of the retry budget, in milliseconds, greater than 0
     */
    public void setLimits(HedgePolicy policy, long windowMillis) {
        budget.setLimits(policy, windowMillis);
    }

    /**
     * Decides whether a request is sent to a second server now. A hedge that is allowed is counted at once.
     *
     * @param request the request, not null
     * @param candidates the servers of its service that may get it now without waiting, not null; they do not matter
     *     before a hedge is due
     * @param nowMillis the present time
     * @return the answer, never null; at the time of the send it is never {@link HedgeAnswer.Send}
     */
    public HedgeAnswer decide(HedgeRequest request, Collection<HedgeCandidate> candidates, long nowMillis) {
        Arguments.notNull(request, "request");
        Arguments.notNull(candidates, "candidates");
        Optional<HedgeDenial> forbidden = forbidden(request);
        if (forbidden.isPresent()) {
            return new HedgeAnswer.Never(forbidden.get());
        }
        OptionalLong delay = times.quantile(request.service(), budget.policy().quantile(), nowMillis);
        if (delay.isEmpty()) {
            return new HedgeAnswer.Never(HedgeDenial.UNKNOWN_TIMES);
        }
        long dueMillis = request.sentAtMillis() + Math.max(1, delay.getAsLong());
        if (!leavesTime(request, Math.max(dueMillis, nowMillis), nowMillis)) {
            return new HedgeAnswer.Never(HedgeDenial.NO_TIME);
        }
        if (nowMillis < dueMillis) {
            return new HedgeAnswer.AskAgain(dueMillis, Optional.empty());
        }
        if (arrivals.isBurst(request.service(), nowMillis)) {
            return later(HedgeDenial.BURST, request, nowMillis);
        }
        List<HedgeCandidate> others = candidates.stream()
                .filter(each -> !request.servers().contains(each.server()))
                .toList();
        Optional<HedgeDenial> unsuitable = unsuitable(others, request, nowMillis);
        if (unsuitable.isPresent()) {
            return later(unsuitable.get(), request, nowMillis);
        }
        Optional<HedgeDenial> exhausted = budget.tryHedge(request.service(), request.customer(), nowMillis);
        if (exhausted.isPresent()) {
            return later(exhausted.get(), request, nowMillis);
        }
        return new HedgeAnswer.Send(best(others).orElseThrow().server());
    }

    private Optional<HedgeDenial> forbidden(HedgeRequest request) {
        if (!budget.policy().isOn()) {
            return Optional.of(HedgeDenial.OFF);
        }
        if (!request.isRepeatable()) {
            return Optional.of(HedgeDenial.NOT_REPEATABLE);
        }
        if (request.isResponseBegun()) {
            return Optional.of(HedgeDenial.RESPONSE_BEGUN);
        }
        if (request.isHedged()) {
            return Optional.of(HedgeDenial.ALREADY_HEDGED);
        }
        return request.servers().size() >= request.maxServers()
                ? Optional.of(HedgeDenial.MAX_SERVERS)
                : Optional.empty();
    }

    private static Optional<HedgeDenial> unsuitable(List<HedgeCandidate> others, HedgeRequest request, long nowMillis) {
        if (others.isEmpty()) {
            return Optional.of(HedgeDenial.NO_SERVER);
        }
        long requests = others.stream().mapToLong(HedgeCandidate::requests).sum();
        long slots = others.stream().mapToLong(HedgeCandidate::slots).sum();
        if (requests >= OVERLOAD_SHARE * slots || best(others).isEmpty()) {
            return Optional.of(HedgeDenial.OVERLOAD);
        }
        // The send takes at least as long as it has waited, even if its server is usually faster.
        double expected = Math.max(request.estimateMillis(), (double) (nowMillis - request.sentAtMillis()));
        return best(others).orElseThrow().estimateMillis() >= expected
                ? Optional.of(HedgeDenial.NO_BETTER_SERVER)
                : Optional.empty();
    }

    private static Optional<HedgeCandidate> best(List<HedgeCandidate> others) {
        return others.stream()
                .filter(each -> each.requests() < OVERLOAD_SHARE * each.slots())
                .min(Comparator.comparingDouble(HedgeCandidate::estimateMillis).thenComparing(HedgeCandidate::server));
    }

    /** Asks again after the time that has passed since the send, which limits the questions of a slow request. */
    private HedgeAnswer later(HedgeDenial denial, HedgeRequest request, long nowMillis) {
        long atMillis = nowMillis + Math.max(1, nowMillis - request.sentAtMillis());
        return leavesTime(request, atMillis, nowMillis)
                ? new HedgeAnswer.AskAgain(atMillis, Optional.of(denial))
                : new HedgeAnswer.Never(denial);
    }

    private boolean leavesTime(HedgeRequest request, long sendMillis, long nowMillis) {
        long usual =
                times.quantile(request.service(), USUAL_QUANTILE, nowMillis).orElse(0);
        return sendMillis + usual < request.deadlineMillis();
    }
}
