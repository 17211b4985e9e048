package io.hornbeamscale.core.limit;

import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Enforces one entry's share of the rate limits of each customer. One half of a limit is divided equally between the
 * entries, the other half is leased to entries by the coordinator of the customer. When a lease expires, the equal part
 * remains. Customers without a limit are not limited. Not safe for use by several threads.
 */
public final class CustomerLimiter {
    /** The burst size of a share, in seconds of its rate. */
    private static final double BURST_SECONDS = 2;

    private final Map<CustomerId, Share> shares = new HashMap<>();
    private int entries = 1;

    /** Creates a limiter without limits. */
    public CustomerLimiter() {}

    /**
     * Replaces the limits.
     *
     * @param limits the limits over all entries, not null
     * @param liveEntries the number of live entries that share the limits, greater than 0
     * @param nowMillis the present time
     */
    public void configure(List<CustomerRates> limits, int liveEntries, long nowMillis) {
        entries = (int) Arguments.positive(liveEntries, "liveEntries");
        Map<CustomerId, Share> kept = new HashMap<>();
        for (CustomerRates l : limits) {
            Share s = shares.get(l.customer());
            kept.put(l.customer(), s == null ? new Share(l, entries, nowMillis) : s);
            kept.get(l.customer()).limit = l;
        }
        shares.clear();
        shares.putAll(kept);
        shares.values().forEach(s -> s.apply(entries, nowMillis));
    }

    /**
     * Applies a lease from the coordinator of a customer. A lease for a customer without a limit is ignored.
     *
     * @param lease the leased rates, not null
     * @param validMillis how long the lease is valid, in milliseconds from its arrival
     * @param nowMillis the present time
     */
    public void leased(CustomerRates lease, long validMillis, long nowMillis) {
        Share s = shares.get(lease.customer());
        if (s != null) {
            s.lease = lease;
            s.leaseUntilMillis = nowMillis + validMillis;
            s.apply(entries, nowMillis);
        }
    }

    /**
     * Admits a request if it is within the limits.
     *
     * @param customer the customer, not null
     * @param promptTokens the prompt tokens of the request
     * @param nowMillis the present time
     * @return 0 if the request is admitted, otherwise the time until it can be admitted, in milliseconds
     */
    public long admit(CustomerId customer, int promptTokens, long nowMillis) {
        Share s = shares.get(customer);
        if (s == null) {
            return 0;
        }
        s.expire(entries, nowMillis);
        s.demandRequests++;
        s.demandTokens += promptTokens;
        long wait = Math.max(
                s.requests.waitMillis(1, nowMillis), s.tokens.waitMillis(Math.max(1, promptTokens), nowMillis));
        if (wait == 0) {
            s.requests.take(1, nowMillis);
            s.tokens.take(promptTokens, nowMillis);
        }
        return wait;
    }

    /**
     * Charges output tokens. They may exceed the limit, since running responses are not interrupted; the excess delays
     * the next requests of the customer.
     *
     * @param customer the customer, not null
     * @param count the number of tokens
     * @param nowMillis the present time
     */
    public void charge(CustomerId customer, int count, long nowMillis) {
        Share s = shares.get(customer);
        if (s != null) {
            s.demandTokens += count;
            s.tokens.take(count, nowMillis);
        }
    }

    /**
     * Returns the demand since the last call, which is to be sent to the coordinator of each customer, and resets it.
     *
     * @param nowMillis the present time
     * @return the demand of each customer with a demand, never null
     */
    public List<CustomerRates> demand(long nowMillis) {
        List<CustomerRates> all = new ArrayList<>();
        for (Share s : shares.values()) {
            double seconds = Math.max(1, nowMillis - s.demandSinceMillis) / 1e3;
            if (s.demandRequests > 0 || s.demandTokens > 0) {
                all.add(new CustomerRates(s.limit.customer(), s.demandRequests / seconds, s.demandTokens / seconds));
            }
            s.demandRequests = 0;
            s.demandTokens = 0;
            s.demandSinceMillis = nowMillis;
        }
        return all;
    }

    private static final class Share {
        final TokenBucket requests;
        final TokenBucket tokens;
        CustomerRates limit;
        CustomerRates lease;
        long leaseUntilMillis;
        double demandRequests;
        double demandTokens;
        long demandSinceMillis;

        Share(CustomerRates limit, int entries, long nowMillis) {
            this.limit = limit;
            this.requests = full(limit.requestsPerSecond() / 2 / entries, nowMillis);
            this.tokens = full(limit.tokensPerSecond() / 2 / entries, nowMillis);
            this.demandSinceMillis = nowMillis;
        }

        private static TokenBucket full(double rate, long nowMillis) {
            return new TokenBucket(rate, Math.max(1, rate * BURST_SECONDS), nowMillis);
        }

        void expire(int entries, long nowMillis) {
            if (lease != null && nowMillis >= leaseUntilMillis) {
                lease = null;
                apply(entries, nowMillis);
            }
        }

        void apply(int entries, long nowMillis) {
            double share = 0.5 / entries;
            double r = limit.requestsPerSecond() * share + (lease == null ? 0 : lease.requestsPerSecond());
            double t = limit.tokensPerSecond() * share + (lease == null ? 0 : lease.tokensPerSecond());
            requests.setRate(r, Math.max(1, r * BURST_SECONDS), nowMillis);
            tokens.setRate(t, Math.max(1, t * BURST_SECONDS), nowMillis);
        }
    }
}
