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
final class ReplicationTracker {
    /** How many of at most {@link PeerRanking#REPLICA_COUNT} holders must have a copy, and how many a starting node must ask. */
    static final int REQUIRED_COPIES = 2;

    private static final long WATCHER_ASK_PERIOD_MILLIS = 250;
    private static final long ASK_PERIOD_MILLIS = 1_000;

    private final Set<NodeId> copies = new HashSet<>();
    private boolean isReplicated = true;
    private long nextAskMillis;

    /** Starts over with another version. */
    void reset(boolean settled) {
        copies.clear();
        isReplicated = settled;
        nextAskMillis = Long.MIN_VALUE;
    }

    boolean isReplicated() {
        return isReplicated;
    }

    void markReplicated() {
        isReplicated = true;
    }

    void addCopy(NodeId node) {
        copies.add(node);
    }

    boolean hasEnoughCopies(List<NodeId> holders) {
        return holders.stream().filter(copies::contains).count() >= requiredCopies(holders);
    }

    /** Returns how many of the holders suffice; a small region has fewer. */
    static int requiredCopies(List<NodeId> holders) {
        return Math.min(REQUIRED_COPIES, holders.size());
    }

    /** Returns whether it is time to ask the holders again. */
    boolean isDue(boolean isWatcher, long nowMillis) {
        if (nowMillis < nextAskMillis) {
            return false;
        }
        nextAskMillis = nowMillis + (isWatcher ? WATCHER_ASK_PERIOD_MILLIS : ASK_PERIOD_MILLIS);
        return true;
    }
}
