package io.hornbeamscale.core.fleet;

import io.hornbeamscale.core.limit.HashRanks;
import io.hornbeamscale.core.util.Arguments;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether an entry watches the store itself or relies on the changes that other entries pass on. In a large
 * fleet, watches of every entry would multiply the calls to the store. A few entries watch for all; every entry derives
 * them from the status of the others by a hash, without coordination. An entry that hears of too few working watches
 * watches itself, so changes arrive while any entries, the watching ones included, are lost, cut off or slow. Not safe
 * for use by several threads.
 */
public final class StoreWatchController {
    /** The number of entries that watch in the normal case. */
    static final int WATCHERS = 4;

    /** The number of working watches by other entries below which an entry watches itself. */
    static final int MIN_WATCHERS = 2;

    /**
     * How long the status of another entry is valid, in milliseconds; about twice the interval between two status
     * messages in a large fleet.
     */
    static final long STATUS_TTL_MILLIS = 1_200;

    private static final String RANK_KEY = "store-watch";

    private final String node;
    private final Map<String, Long> watchersHeardAtMillis = new HashMap<>();
    private boolean isWatching = true;

    /**
     * Creates a controller of an entry that watches until it hears of enough other watches.
     *
     * @param node the name of the entry, not null
     */
    public StoreWatchController(String node) {
        this.node = Arguments.notNull(node, "node");
    }

    /**
     * Records the status of another entry.
     *
     * @param peer the name of the other entry, not null
     * @param hasWorkingWatch whether it watches the store and its last call succeeded
     * @param nowMillis the present time
     */
    public void statusReceived(String peer, boolean hasWorkingWatch, long nowMillis) {
        if (hasWorkingWatch) {
            watchersHeardAtMillis.put(peer, nowMillis);
        } else {
            watchersHeardAtMillis.remove(peer);
        }
    }

    /**
     * Returns whether this entry has to watch the store itself.
     *
     * @param nowMillis the present time
     * @return whether too few other entries watch, or this one is among those that watch for all
     */
    public boolean isWatching(long nowMillis) {
        watchersHeardAtMillis.values().removeIf(heardAt -> nowMillis - heardAt > STATUS_TTL_MILLIS);
        if (watchersHeardAtMillis.size() < MIN_WATCHERS) {
            isWatching = true;
        } else if (isWatching) {
            // Only an entry that watches may stop, so a change of the set does not start further watches.
            isWatching = watchersRankedBefore() < WATCHERS;
        }
        return isWatching;
    }

    private int watchersRankedBefore() {
        long own = HashRanks.rank(node, RANK_KEY);
        int before = 0;
        for (String peer : watchersHeardAtMillis.keySet()) {
            if (Long.compareUnsigned(HashRanks.rank(peer, RANK_KEY), own) < 0) {
                before++;
            }
        }
        return before;
    }
}
