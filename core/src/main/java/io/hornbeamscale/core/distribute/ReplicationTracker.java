package io.hornbeamscale.core.distribute;

import io.hornbeamscale.core.id.NodeId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks whether a version is replicated in the region, which means that two of the other replicas hold it. A node that
 * starts without the store asks two replicas, so it always reaches a copy of the version that it had in force, unless
 * several replicas fail at the same time.
 */
final class ReplicationTracker {
    /**
     * How many of at most {@link PeerRanking#REPLICA_COUNT} replicas must hold a version, and how many of them a
     * starting node must ask.
     */
    static final int REQUIRED_COPIES = 2;

    private static final long WATCHER_ASK_PERIOD_MILLIS = 250;
    private static final long ASK_PERIOD_MILLIS = 1_000;

    private final Set<NodeId> copies = new HashSet<>();
    private boolean isReplicated = true;
    private long nextAskMillis;

    /** Starts to track another version. */
    void reset(boolean replicated) {
        copies.clear();
        isReplicated = replicated;
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

    boolean hasEnoughCopies(List<NodeId> replicas) {
        return replicas.stream().filter(copies::contains).count() >= requiredCopies(replicas);
    }

    /** Returns how many of the other replicas must hold a version; a small region has fewer replicas than required. */
    static int requiredCopies(List<NodeId> replicas) {
        return Math.min(REQUIRED_COPIES, replicas.size());
    }

    /** Returns whether it is time to ask the replicas again, and if so schedules the next time. */
    boolean isDue(boolean isWatcher, long nowMillis) {
        if (nowMillis < nextAskMillis) {
            return false;
        }
        nextAskMillis = nowMillis + (isWatcher ? WATCHER_ASK_PERIOD_MILLIS : ASK_PERIOD_MILLIS);
        return true;
    }
}
