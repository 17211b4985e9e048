package io.hornbeamscale.core.limit;

import io.hornbeamscale.core.membership.RendezvousHash;
import io.hornbeamscale.core.util.Arguments;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Keeps this entry within its share of the request rates that servers name. A server that is short of capacity names in
 * its responses how many requests a second it takes from all entries together. The shares follow from the server's id
 * and the names of the entries, so that their sum is bounded without messages. Not safe for use by several threads.
 */
public final class ServerRateLimits {
    /** The least rate that a limit is taken for, in requests per second, so that the end of a limit is noticed. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.1;

    /**
     * The number of entries that share a limit, besides one for each two requests per second. Each of them may send one
     * request at any time after a pause, so the number bounds the excess over the rate.
     */
    private static final int EXTRA_SHARERS = 4;

    private static final double SHARERS_PER_REQUEST_PER_SECOND = 0.5;

    /**
     * The sum of the shares of the entries that share a limit, as a multiple of it. Their demand differs, so that not
     * every one uses its whole share.
     */
    private static final double SHARES_SUM = 1.25;

    /** The share of a limit that all other entries use together to learn whether it still holds. */
    private static final double PROBING_SHARE = 0.05;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final String self;
    private final Map<String, Limit> limits = new HashMap<>();
    private Set<String> entries;

    /**
     * Creates limits for an entry that knows no others.
     *
     * @param self the name of this entry, not null
     */
    public ServerRateLimits(String self) {
        this.self = Arguments.notNull(self, "self");
        this.entries = Set.of(self);
    }

    /**
     * Replaces the entries that share the limits.
     *
     * @param others the names of the other entries, not null
     */
    public void setOtherEntries(Collection<String> others) {
        Set<String> all = new TreeSet<>(others);
        all.add(self);
        entries = all;
        limits.forEach((server, limit) -> limit.intervalMillis = intervalMillis(limit.requestsPerSecond, rank(server)));
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
            limit.nextMillis = nowMillis + firstPauseMillis(rate, rank(server));
        }
        limit.namedAtMillis = nowMillis;
        if (isChanged) {
            limit.requestsPerSecond = rate;
            limit.intervalMillis = intervalMillis(rate, rank(server));
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

    private int rank(String server) {
        List<String> order = RendezvousHash.owners(entries, Function.identity(), server, entries.size());
        return order.indexOf(self);
    }

    private int sharers(double requestsPerSecond) {
        return (int) Math.min(
                entries.size(), Math.floor(SHARERS_PER_REQUEST_PER_SECOND * requestsPerSecond) + EXTRA_SHARERS);
    }

    private long intervalMillis(double requestsPerSecond, int rank) {
        int sharers = sharers(requestsPerSecond);
        double seconds = rank < sharers
                ? sharers / ((sharers > 1 ? SHARES_SUM : 1) * requestsPerSecond)
                : (entries.size() - sharers) / (PROBING_SHARE * requestsPerSecond);
        return Math.max(1, (long) Math.ceil(seconds * MILLIS_PER_SECOND));
    }

    /** Returns a pause that differs between the entries, so that they do not all send at once. */
    private long firstPauseMillis(double requestsPerSecond, int rank) {
        int sharers = sharers(requestsPerSecond);
        double share = rank < sharers ? (rank + 1.0) / sharers : (rank + 1.0 - sharers) / (entries.size() - sharers);
        return (long) (intervalMillis(requestsPerSecond, rank) * share);
    }

    private static final class Limit {
        private double requestsPerSecond;
        private long intervalMillis;
        private long namedAtMillis;

        /** When the next request may be sent. */
        private long nextMillis;
    }
}
