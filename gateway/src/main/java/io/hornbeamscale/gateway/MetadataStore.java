package io.hornbeamscale.gateway;

import java.util.function.Consumer;

/**
 * The platform's store, as an entry uses it. Results arrive on an I/O thread, each exactly once. Calls are not
 * repeated:
 * the caller decides what a lost answer means.
 */
public interface MetadataStore {
    /**
     * Lists the items below a prefix in the order of their keys.
     *
     * @param prefix the start of the keys, not null
     * @param afterKey the key behind which the list begins, empty for the first page
     * @param done receives {@link StoreResult.Items} or {@link StoreResult.Unavailable}
     */
    void list(String prefix, String afterKey, Consumer<StoreResult> done);

    /**
     * Waits for changes below a prefix.
     *
     * @param prefix the start of the keys, not null
     * @param afterRevision the revision behind which changes count
     * @param waitMillis how long the store waits for a change, in milliseconds
     * @param done receives {@link StoreResult.Items}, {@link StoreResult.HistoryLost} or
     *     {@link StoreResult.Unavailable}
     */
    void watch(String prefix, long afterRevision, long waitMillis, Consumer<StoreResult> done);

    /**
     * Writes a value whatever the key holds.
     *
     * @param key the key, not null
     * @param value the value, not null
     * @param lease the lease with which the key ends, 0 for none
     * @param done receives {@link StoreResult.Written}, {@link StoreResult.LeaseGone} or
     *     {@link StoreResult.Unavailable}
     */
    void put(String key, byte[] value, long lease, Consumer<StoreResult> done);

    /**
     * Writes a value if the key was not changed since it was read.
     *
     * @param key the key, not null
     * @param expectedRevision the revision of the key that was read, 0 if it was absent
     * @param value the value, not null
     * @param done receives {@link StoreResult.Written}, {@link StoreResult.Conflict} or
     *     {@link StoreResult.Unavailable}
     */
    void compareAndPut(String key, long expectedRevision, byte[] value, Consumer<StoreResult> done);

    /**
     * Creates a lease.
     *
     * @param ttlMillis how long it lasts without renewal, in milliseconds
     * @param done receives {@link StoreResult.Leased} or {@link StoreResult.Unavailable}
     */
    void lease(long ttlMillis, Consumer<StoreResult> done);

    /**
     * Renews a lease.
     *
     * @param lease the id of the lease
     * @param done receives {@link StoreResult.Leased}, {@link StoreResult.LeaseGone} or
     *     {@link StoreResult.Unavailable}
     */
    void keep(long lease, Consumer<StoreResult> done);

    /**
     * Ends a lease; its keys are removed.
     *
     * @param lease the id of the lease
     * @param done receives any result
     */
    void end(long lease, Consumer<StoreResult> done);
}
