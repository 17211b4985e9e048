package io.hornbeamscale.core.limit;

import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.util.Arguments;

/**
 * Rates of one customer, used for its limit, for a demand and for a lease.
 *
 * @param customer the customer, not null
 * @param requestsPerSecond the number of requests per second, not negative
 * @param tokensPerSecond the number of prompt and output tokens per second, not negative
 */
public record CustomerRates(CustomerId customer, double requestsPerSecond, double tokensPerSecond) {
    /** Checks the parts. */
    public CustomerRates {
        Arguments.notNull(customer, "customer");
        Arguments.inRange(requestsPerSecond, 0, Double.MAX_VALUE, "requestsPerSecond");
        Arguments.inRange(tokensPerSecond, 0, Double.MAX_VALUE, "tokensPerSecond");
    }
}
