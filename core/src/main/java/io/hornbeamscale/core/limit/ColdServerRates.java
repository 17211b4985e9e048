package io.hornbeamscale.core.limit;

import io.hornbeamscale.core.util.Arguments;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps this entry within its share of the request rate that a cold server bears. Not safe for use by several threads.
 */
public final class ColdServerRates {
    /**
     * The number of entries that share the rate of a cold server, per request per second. The rate is bounded in every
     * single second, in which each sharer may send one request more than its share.
     */
    static final double SHARERS_PER_REQUEST_PER_SECOND = 0.25;

    /**
     * How long an entry that does not share the rate may use its turn, in milliseconds. Turns that were kept would be
     * used by all these entries in the same second of a burst.
     */
    private static final long TURN_MILLIS = 100;

    private final RateShares shares;
    private final Map<String, Long> nextMillis = new HashMap<>();

    /**
     * Creates rates for an entry that knows no others.
     *
     * @param self the name of this entry, not null
     */
    public ColdServerRates(String self) {
        shares = new RateShares(self, SHARERS_PER_REQUEST_PER_SECOND);
    }

    /**
     * Replaces the entries that share the rates.
     *
     * @param others the names of the other entries, not null
     */
    public void setOtherEntries(Collection<String> others) {
        shares.setOtherEntries(others);
    }

    /**
     * Returns when the next request may be sent to a cold server.
     *
     * @param server the id of the server, not null
     * @param requestsPerSecond the rate that the server bears from all entries while it is cold, greater than 0
     * @param nowMillis the present time
     * @return the time, in milliseconds
     */
    public long nextMillis(String server, double requestsPerSecond, long nowMillis) {
        Arguments.notNull(server, "server");
        long next =
                nextMillis.computeIfAbsent(server, id -> nowMillis + shares.firstPauseMillis(id, requestsPerSecond));
        boolean isTurnLost = nowMillis - next > TURN_MILLIS && !shares.isSharer(server, requestsPerSecond);
        if (isTurnLost) {
            long interval = shares.intervalMillis(server, requestsPerSecond);
            next += ((nowMillis - next) / interval + 1) * interval;
            nextMillis.put(server, next);
        }
        return next;
    }

    /**
     * Records a request that this entry sends to a cold server.
     *
     * @param server the id of the server, not null
     * @param requestsPerSecond the rate that the server bears from all entries while it is cold, greater than 0
     * @param nowMillis the present time
     */
    public void take(String server, double requestsPerSecond, long nowMillis) {
        long next = Math.max(nowMillis, nextMillis(server, requestsPerSecond, nowMillis));
        nextMillis.put(server, next + shares.intervalMillis(server, requestsPerSecond));
    }

    /**
     * Removes the state of a server that is no longer cold or that is gone. Does nothing if there is none.
     *
     * @param server the id of the server, not null
     */
    public void forget(String server) {
        nextMillis.remove(server);
    }
}
