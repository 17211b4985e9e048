package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.id.CustomerId;
import java.util.HashMap;
import java.util.Map;

/**
 * Virtual token counters for fair scheduling: the counter of a customer grows by its tokens divided by its weight, and
 * the customer with the lowest counter goes first. A customer that becomes active again starts at the lowest active
 * counter or above, so that inactivity earns no credit.
 */
final class VirtualTokenCounters {
    private static final int MAX_CUSTOMERS = 1_000;

    private final Map<CustomerId, Double> weights = new HashMap<>();
    private final Map<CustomerId, Counter> counters = new HashMap<>();
    /** The counter of the customer that became inactive last. */
    private double lastInactiveValue;

    void weights(Map<CustomerId, Double> next) {
        weights.clear();
        weights.putAll(next);
    }

    /** Records that a customer has another waiting request. */
    void enter(CustomerId customer) {
        Counter c = counters.computeIfAbsent(customer, k -> new Counter());
        if (c.waiting == 0) {
            c.value = Math.max(c.value, lowestActiveValue());
        }
        c.waiting++;
    }

    private double lowestActiveValue() {
        double lowest = Double.MAX_VALUE;
        for (Counter c : counters.values()) {
            if (c.waiting > 0) {
                lowest = Math.min(lowest, c.value);
            }
        }
        return lowest < Double.MAX_VALUE ? lowest : lastInactiveValue;
    }

    /** Records that a request of the customer no longer waits. */
    void leave(CustomerId customer) {
        Counter c = counters.get(customer);
        c.waiting--;
        if (c.waiting == 0) {
            lastInactiveValue = c.value;
        }
    }

    /** Removes a customer without waiting and running requests if the table exceeds its size limit. */
    void removeIfInactive(CustomerId customer) {
        Counter c = counters.get(customer);
        if (c != null && c.waiting == 0 && c.held < 1e-6 && counters.size() > MAX_CUSTOMERS) {
            counters.remove(customer);
        }
    }

    void charge(CustomerId customer, double tokens) {
        Counter c = counters.get(customer);
        if (c != null) {
            c.value += tokens / weights.getOrDefault(customer, 1.0);
        }
    }

    /**
     * Adds tokens to a customer's counter while a request runs; a negative number releases them. Held tokens do not
     * affect the initial counter of customers that become active, since they are released at the end.
     */
    void hold(CustomerId customer, double tokens) {
        Counter c = counters.get(customer);
        if (c != null) {
            c.held += tokens / weights.getOrDefault(customer, 1.0);
        }
    }

    double value(CustomerId customer) {
        Counter c = counters.get(customer);
        return c == null ? 0 : c.value + c.held;
    }

    private static final class Counter {
        double value;
        double held;
        int waiting;
    }
}
