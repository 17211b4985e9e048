package io.hornbeamscale.gateway;

import io.hornbeamscale.core.store.StoreRevision;
import java.util.List;

/** The result of a call to the metadata store. */
public sealed interface StoreResult {
    /**
     * Returns the era of the store that the response states. Without a response, it is the era known before the call.
     *
     * @return the number of the era, 0 if unknown
     */
    long era();

    /**
     * The items of a list, or the changes of a watch.
     *
     * @param items the items in the order of their keys, or the changes in their order
     * @param hasMore whether the list continues after its last item
     * @param revision the store's revision at the time of the response
     */
    record Items(List<StoreItem> items, boolean hasMore, StoreRevision revision) implements StoreResult {
        @Override
        public long era() {
            return revision.era();
        }
    }

    /**
     * A response of the store began, and was too large or did not end in time. The same call would meet the same.
     *
     * @param era the era of the store, 0 if unknown
     */
    record Incomplete(long era) implements StoreResult {}

    /**
     * The store no longer has the changes that a watch asked for.
     *
     * @param era the era of the store, 0 if unknown
     */
    record HistoryLost(long era) implements StoreResult {}

    /**
     * A write took effect.
     *
     * @param revision the revision of the write
     */
    record Written(StoreRevision revision) implements StoreResult {
        @Override
        public long era() {
            return revision.era();
        }
    }

    /**
     * A conditional write had no effect, as the revision of the key did not match.
     *
     * @param era the era of the store, 0 if unknown
     */
    record Conflict(long era) implements StoreResult {}

    /**
     * The lease that the call names does not exist.
     *
     * @param era the era of the store, 0 if unknown
     */
    record LeaseGone(long era) implements StoreResult {}

    /**
     * A lease exists.
     *
     * @param id the id of the lease
     * @param ttlMillis how long it lasts without renewal, in milliseconds
     * @param era the era of the store, 0 if unknown
     */
    record Leased(long id, long ttlMillis, long era) implements StoreResult {}

    /**
     * The store gave no usable response. A write may still take effect.
     *
     * @param reason a description for the log
     * @param era the era of the store, 0 if unknown
     */
    record Unavailable(String reason, long era) implements StoreResult {}
}
