package io.hornbeamscale.core.distribute;

import io.hornbeamscale.core.id.NodeId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks whether enough nodes of the region hold a version. A version is settled once two of the other holders have it.
 * A node that starts without the store asks two of them, so it always meets a copy of what it had in force, unless
 * several holders fail at the same time.
 */
final class Settlement {
    /** How many of at most {@link PeerPlan#HOLDERS} holders must have a copy, and how many a starting node must ask. */
    static final int COPIES = 2;

    private static final long WATCHER_REPEAT_MILLIS = 250;
    private static final long REPEAT_MILLIS = 1_000;

    private final Set<NodeId> copies = new HashSet<>();
    private boolean isSettled = true;
    private long nextMillis;

    /** Starts over with another version. */
    void reset(boolean settled) {
        copies.clear();
        isSettled = settled;
        nextMillis = Long.MIN_VALUE;
    }

    boolean isSettled() {
        return isSettled;
    }

    void settle() {
        isSettled = true;
    }

    void copied(NodeId node) {
        copies.add(node);
    }

    boolean hasEnoughCopies(List<NodeId> holders) {
        return holders.stream().filter(copies::contains).count() >= needed(holders);
    }

    /** Returns how many of the holders suffice; a small region has fewer. */
    static int needed(List<NodeId> holders) {
        return Math.min(COPIES, holders.size());
    }

    /** Returns whether it is time to ask the holders again. */
    boolean isDue(boolean isWatcher, long nowMillis) {
        if (nowMillis < nextMillis) {
            return false;
        }
        nextMillis = nowMillis + (isWatcher ? WATCHER_REPEAT_MILLIS : REPEAT_MILLIS);
        return true;
    }
}
