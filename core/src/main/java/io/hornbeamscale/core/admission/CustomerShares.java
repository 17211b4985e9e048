package io.hornbeamscale.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Compares the work of the customers of one class of requests: the work in progress plus that of recent admissions. The
 * shares are equal among the customers that have work or wait, so the share of an idle customer is used by the others
 * until its next request arrives. Not safe for use by several threads.
 */
final class CustomerShares {
    /** The half-life of an admission, in milliseconds; about the duration of a long response. */
    private static final long HALF_LIFE_MILLIS = 5_000;

    /** The multiple of the fair share from which on a customer waits behind the others. */
    private static final double MAX_SHARES = 1.5;

    /**
     * The number of requests from which on a customer can exceed its share. An entry admits about two requests per
     * second, so smaller numbers differ by chance.
     */
    private static final double MIN_REQUESTS = 3;

    /** The number of recent requests below which a customer counts as idle. */
    private static final double IDLE_REQUESTS = 0.2;

    private final Map<String, Usage> usages = new HashMap<>();
    private double limit = Double.POSITIVE_INFINITY;

    void admitted(AdmissionRequest request, long nowMillis) {
        Usage usage = usages.computeIfAbsent(request.customer(), k -> new Usage());
        usage.work += request.work();
        usage.running++;
        usage.recentWork.add(request.work(), nowMillis);
        usage.recentRequests.add(1, nowMillis);
    }

    void ended(AdmissionRequest request) {
        Usage usage = usages.get(request.customer());
        if (usage != null) {
            usage.work = Math.max(0, usage.work - request.work());
            usage.running = Math.max(0, usage.running - 1);
        }
    }

    /** Withdraws an admission, since the server has refused the request. */
    void returned(AdmissionRequest request, long nowMillis) {
        ended(request);
        Usage usage = usages.get(request.customer());
        if (usage != null) {
            usage.recentWork.add(-request.work(), nowMillis);
            usage.recentRequests.add(-1, nowMillis);
        }
    }

    /** Computes the shares for the customers that wait now; must precede {@link #isOver}. */
    void update(Set<String> waiting, long nowMillis) {
        usages.values().removeIf(u -> u.requests(nowMillis) < IDLE_REQUESTS);
        Set<String> active = new HashSet<>(usages.keySet());
        active.addAll(waiting);
        double total = 0;
        for (Usage usage : usages.values()) {
            total += usage.total(nowMillis);
        }
        limit = active.size() < 2 ? Double.POSITIVE_INFINITY : MAX_SHARES * total / active.size();
    }

    /** Returns whether a customer has more than its fair share; an unknown customer never has. */
    boolean isOver(String customer, long nowMillis) {
        Usage usage = usages.get(customer);
        return usage != null
                && !customer.isEmpty()
                && usage.requests(nowMillis) >= MIN_REQUESTS
                && usage.total(nowMillis) > limit;
    }

    private static final class Usage {
        private final DecayedSum recentWork = new DecayedSum(HALF_LIFE_MILLIS);
        private final DecayedSum recentRequests = new DecayedSum(HALF_LIFE_MILLIS);
        private double work;
        private int running;

        double total(long nowMillis) {
            return work + recentWork.value(nowMillis);
        }

        double requests(long nowMillis) {
            return running + recentRequests.value(nowMillis);
        }
    }
}
