package io.hornbeamscale.core.limit;

import io.hornbeamscale.core.membership.RendezvousHash;
import io.hornbeamscale.core.util.Arguments;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Divides the request rate that a server bears among the entries. The shares follow from the server's id and the names
 * of the entries, so that their sum is bounded without messages. Not safe for use by several threads.
 */
public final class RateShares {
    /**
     * The number of entries that share a rate, besides those for its requests per second. Each of them may send one
     * request at any time after a pause, so the number bounds the excess over the rate.
     */
    static final int EXTRA_SHARERS = 4;

    /**
     * The sum of the shares of the entries that share a rate, as a multiple of it. Their demand differs, so that not
     * every one uses its whole share.
     */
    static final double SHARES_SUM = 1.25;

    /** The share of a rate that all other entries use together, so that they notice its end. */
    private static final double PROBING_SHARE = 0.05;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final String self;
    private final double sharersPerRequestPerSecond;
    private Set<String> entries;

    /**
     * Creates the shares of an entry that knows no others.
     *
     * @param self the name of this entry, not null
     * @param sharersPerRequestPerSecond the number of entries that share a rate, per request per second
     */
    public RateShares(String self, double sharersPerRequestPerSecond) {
        this.self = Arguments.notNull(self, "self");
        this.sharersPerRequestPerSecond = sharersPerRequestPerSecond;
        this.entries = Set.of(self);
    }

    /**
     * Replaces the entries that share the rates.
     *
     * @param others the names of the other entries, not null
     */
    public void setOtherEntries(Collection<String> others) {
        Set<String> all = new TreeSet<>(others);
        all.add(self);
        entries = all;
    }

    /**
     * Returns the interval between two requests of this entry to a server.
     *
     * @param server the id of the server, not null
     * @param requestsPerSecond the rate that the server bears from all entries, greater than 0
     * @return the interval, in milliseconds, at least 1
     */
    public long intervalMillis(String server, double requestsPerSecond) {
        int sharers = sharers(requestsPerSecond);
        double seconds = rank(server) < sharers
                ? sharers / ((sharers > 1 ? SHARES_SUM : 1) * requestsPerSecond)
                : (entries.size() - sharers) / (PROBING_SHARE * requestsPerSecond);
        return Math.max(1, (long) Math.ceil(seconds * MILLIS_PER_SECOND));
    }

    /**
     * Returns the pause before the first request under a rate. It differs between the entries, so that they do not all
     * send at once.
     *
     * @param server the id of the server, not null
     * @param requestsPerSecond the rate that the server bears from all entries, greater than 0
     * @return the pause, in milliseconds
     */
    public long firstPauseMillis(String server, double requestsPerSecond) {
        int sharers = sharers(requestsPerSecond);
        int rank = rank(server);
        double share = rank < sharers ? (rank + 1.0) / sharers : (rank + 1.0 - sharers) / (entries.size() - sharers);
        return (long) (intervalMillis(server, requestsPerSecond) * share);
    }

    /**
     * Returns where this entry is in the order of the entries at a server.
     *
     * @param server the id of the server, not null
     * @return the position, from 0 for the first entry to less than 1 for the last one
     */
    public double position(String server) {
        return rank(server) / (double) entries.size();
    }

    /**
     * Returns whether this entry shares the rate of a server, rather than only noticing its end.
     *
     * @param server the id of the server, not null
     * @param requestsPerSecond the rate that the server bears from all entries, greater than 0
     * @return whether it is among the entries that share the rate
     */
    public boolean isSharer(String server, double requestsPerSecond) {
        return rank(server) < sharers(requestsPerSecond);
    }

    private int rank(String server) {
        List<String> order = RendezvousHash.owners(entries, Function.identity(), server, entries.size());
        return order.indexOf(self);
    }

    private int sharers(double requestsPerSecond) {
        return (int)
                Math.min(entries.size(), Math.floor(sharersPerRequestPerSecond * requestsPerSecond) + EXTRA_SHARERS);
    }
}
