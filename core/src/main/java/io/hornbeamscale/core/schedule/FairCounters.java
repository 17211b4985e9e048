package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.id.CustomerId;
import java.util.HashMap;
import java.util.Map;

/**
 * Virtual token counters: a customer's counter grows by its tokens divided by its weight, and the customer with the
 * least counter goes first. A customer that returns from a pause starts at the least active counter, so that a pause
 * earns no credit.
 */
final class FairCounters {
    private final Map<CustomerId, Double> weights = new HashMap<>();
    private final Map<CustomerId, Counter> counters = new HashMap<>();
    /** The least counter of the customers that were last active. */
    private double floor;

    void weights(Map<CustomerId, Double> next) {
        weights.clear();
        weights.putAll(next);
    }

    /** Notes that a customer has one more waiting or running request. */
    void enter(CustomerId customer) {
        Counter c = counters.computeIfAbsent(customer, k -> new Counter());
        if (c.active == 0) {
            c.value = Math.max(c.value, leastActive());
        }
        c.active++;
    }

    private double leastActive() {
        double least = Double.MAX_VALUE;
        for (Counter c : counters.values()) {
            if (c.active > 0) {
                least = Math.min(least, c.value);
            }
        }
        if (least < Double.MAX_VALUE) {
            floor = Math.max(floor, least);
        }
        return floor;
    }

    /** Notes that a request of the customer has left. */
    void leave(CustomerId customer) {
        Counter c = counters.get(customer);
        c.active--;
        if (c.active == 0 && counters.size() > 1_000) {
            floor = Math.max(floor, c.value);
            counters.remove(customer);
        }
    }

    void charge(CustomerId customer, double tokens) {
        Counter c = counters.get(customer);
        if (c != null) {
            c.value += tokens / weights.getOrDefault(customer, 1.0);
        }
    }

    double value(CustomerId customer) {
        Counter c = counters.get(customer);
        return c == null ? 0 : c.value;
    }

    private static final class Counter {
        double value;
        int active;
    }
}
