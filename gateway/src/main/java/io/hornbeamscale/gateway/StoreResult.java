package io.hornbeamscale.gateway;

import java.util.List;

/** The result of a call to the metadata store. */
public sealed interface StoreResult {
    /**
     * Items were read, or a watch has ended.
     *
     * @param items the items; of a watch, the changes in order
     * @param hasMore whether a list goes on behind its last item
     * @param revision the store's revision when it answered
     */
    record Items(List<StoreItem> items, boolean hasMore, long revision) implements StoreResult {}

    /** The store no longer has the changes that a watch asked for. */
    record HistoryLost() implements StoreResult {}

    /**
     * A write took effect.
     *
     * @param revision the revision of the write
     */
    record Written(long revision) implements StoreResult {}

    /** A write had no effect since its condition did not hold. */
    record Conflict() implements StoreResult {}

    /** The lease that the call names does not exist. */
    record LeaseGone() implements StoreResult {}

    /**
     * A lease exists.
     *
     * @param id the id of the lease
     * @param ttlMillis how long it lasts without renewal, in milliseconds
     */
    record Leased(long id, long ttlMillis) implements StoreResult {}

    /**
     * The store did not answer, or not with a result. A write may still take effect.
     *
     * @param reason what happened
     */
    record Unavailable(String reason) implements StoreResult {}
}
