package io.hornbeamscale.gateway;

import java.util.function.Consumer;

/**
 * The client of the platform's metadata store. Each call delivers exactly one result, on an I/O thread. Calls are not
 * retried; the user of this interface decides what a missing response means.
 */
public interface MetadataStore {
    /**
     * Lists one page of the items below a prefix, in the order of their keys.
     *
     * @param prefix the prefix of the keys, not null
     * @param afterKey the key after which the list begins, empty for the first page
     * @param done receives {@link StoreResult.Items}, {@link StoreResult.Incomplete} or {@link
     *     StoreResult.Unavailable}
     */
    void list(String prefix, String afterKey, Consumer<StoreResult> done);

    /**
     * Waits for changes below a prefix.
     *
     * @param prefix the prefix of the keys, not null
     * @param afterRevision the revision after which changes are returned
     * @param waitMillis how long the store waits for a change, in milliseconds
     * @param done receives {@link StoreResult.Items}, {@link StoreResult.HistoryLost}, {@link StoreResult.Incomplete}
     *     if there are more changes than can be received, or {@link StoreResult.Unavailable}
     */
    void watch(String prefix, long afterRevision, long waitMillis, Consumer<StoreResult> done);

    /**
     * Writes a value unconditionally.
     *
     * @param key the key, not null
     * @param value the value, not null
     * @param lease the id of the lease that the key expires with, 0 for none
     * @param done receives {@link StoreResult.Written}, {@link StoreResult.LeaseGone} or {@link
     *     StoreResult.Unavailable}
     */
    void put(String key, byte[] value, long lease, Consumer<StoreResult> done);

    /**
     * Writes a value if the key has not changed since it was read.
     *
     * @param key the key, not null
     * @param expectedRevision the revision of the key that was read, 0 if it was absent
     * @param value the value, not null
     * @param done receives {@link StoreResult.Written}, {@link StoreResult.Conflict} or {@link StoreResult.Unavailable}
     */
    void compareAndPut(String key, long expectedRevision, byte[] value, Consumer<StoreResult> done);

    /**
     * Creates a lease.
     *
     * @param ttlMillis how long it lasts without renewal, in milliseconds
     * @param done receives {@link StoreResult.Leased} or {@link StoreResult.Unavailable}
     */
    void createLease(long ttlMillis, Consumer<StoreResult> done);

    /**
     * Renews a lease.
     *
     * @param lease the id of the lease
     * @param done receives {@link StoreResult.Leased}, {@link StoreResult.LeaseGone} or
     *     {@link StoreResult.Unavailable}
     */
    void renewLease(long lease, Consumer<StoreResult> done);

    /**
     * Ends a lease, which removes its keys.
     *
     * @param lease the id of the lease
     * @param done receives any result
     */
    void endLease(long lease, Consumer<StoreResult> done);
}
