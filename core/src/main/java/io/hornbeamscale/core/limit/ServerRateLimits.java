package io.hornbeamscale.core.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Keeps this entry within its share of the request rates that servers name. A server that is short of capacity names in
 * its responses how many requests a second it takes from all entries together; {@link RateShares} divides them. Not
 * safe for use by several threads.
 */
public final class ServerRateLimits {
    /** The least rate that a limit is taken for, in requests per second, so that the end of a limit is noticed. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.1;

    /** The number of entries that share a limit, per request per second. */
    private static final double SHARERS_PER_REQUEST_PER_SECOND = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final RateShares shares;
    private final Map<String, Limit> limits = new HashMap<>();

    /**
     * Creates limits for an entry that knows no others.
     *
     * @param self the name of this entry, not null
     */
    public ServerRateLimits(String self) {
        shares = new RateShares(self, SHARERS_PER_REQUEST_PER_SECOND);
    }

    /**
     * Replaces the entries that share the limits.
     *
     * @param others the names of the other entries, not null
     */
    public void setOtherEntries(Collection<String> others) {
        shares.setOtherEntries(others);
        limits.forEach(
                (server, limit) -> limit.intervalMillis = shares.intervalMillis(server, limit.requestsPerSecond));
    }

    /**
     * Handles the limit in a response. A limit ends with the first success that names none, of a request that was sent
     * after the last response that named it.
     *
     * @param server the id of the server, not null
     * @param named the rate that the response names, in requests per second, empty if it names none
     * @param isSuccess whether the response is a success
     * @param sentAtMillis when the request was sent
     * @param nowMillis the present time
     * @return whether the limit of the server is new, has changed or has ended
     */
    public boolean responded(
            String server, OptionalDouble named, boolean isSuccess, long sentAtMillis, long nowMillis) {
        Limit limit = limits.get(server);
        if (named.isEmpty()) {
            boolean hasEnded = limit != null && isSuccess && sentAtMillis > limit.namedAtMillis;
            if (hasEnded) {
                limits.remove(server);
            }
            return hasEnded;
        }
        double rate = Math.max(MIN_REQUESTS_PER_SECOND, named.getAsDouble());
        boolean isChanged = limit == null || limit.requestsPerSecond != rate;
        if (limit == null) {
            limit = new Limit();
            limits.put(server, limit);
            limit.nextMillis = nowMillis + shares.firstPauseMillis(server, rate);
        }
        limit.namedAtMillis = nowMillis;
        if (isChanged) {
            limit.requestsPerSecond = rate;
            limit.intervalMillis = shares.intervalMillis(server, rate);
            limit.nextMillis = Math.min(limit.nextMillis, nowMillis + limit.intervalMillis);
        }
        return isChanged;
    }

    /**
     * Returns how long this entry must wait before its next request to a server.
     *
     * @param server the id of the server, not null
     * @param nowMillis the present time
     * @return the time, in milliseconds, 0 if a request may be sent now
     */
    public long waitMillis(String server, long nowMillis) {
        Limit limit = limits.get(server);
        return limit == null ? 0 : Math.max(0, limit.nextMillis - nowMillis);
    }

    /**
     * Returns how long this entry must wait until some limit allows the next request.
     *
     * @param nowMillis the present time
     * @return the time, in milliseconds, greater than 0; empty if no limit defers a request
     */
    public OptionalLong earliestWaitMillis(long nowMillis) {
        return limits.values().stream()
                .mapToLong(limit -> limit.nextMillis - nowMillis)
                .filter(wait -> wait > 0)
                .min();
    }

    /**
     * Records a request that this entry sends to a server after {@link #waitMillis}. The next one has to wait longer.
     *
     * @param server the id of the server, not null
     * @param nowMillis the present time
     */
    public void take(String server, long nowMillis) {
        Limit limit = limits.get(server);
        if (limit != null) {
            limit.nextMillis = Math.max(limit.nextMillis, nowMillis) + limit.intervalMillis;
        }
    }

    /**
     * Returns the rate at which this entry may send requests to a server.
     *
     * @param server the id of the server, not null
     * @return the rate, in requests per second, infinite if the server names no limit
     */
    public double requestsPerSecond(String server) {
        Limit limit = limits.get(server);
        return limit == null ? Double.POSITIVE_INFINITY : MILLIS_PER_SECOND / limit.intervalMillis;
    }

    /**
     * Removes the limit of a server that is gone. Does nothing if the server has none.
     *
     * @param server the id of the server, not null
     */
    public void forget(String server) {
        limits.remove(server);
    }

    private static final class Limit {
        private double requestsPerSecond;
        private long intervalMillis;
        private long namedAtMillis;

        /** When the next request may be sent. */
        private long nextMillis;
    }
}
