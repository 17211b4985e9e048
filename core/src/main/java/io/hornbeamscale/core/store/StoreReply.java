package io.hornbeamscale.core.store;

/** The reply to a call to the platform's store. */
public sealed interface StoreReply {
    /**
     * The key has a value.
     *
     * @param key the key
     * @param revision the revision of the value, from 1, increasing with every write of the key
     * @param value the value
     */
    record Found(String key, long revision, String value) implements StoreReply {}

    /**
     * The key has no value.
     *
     * @param key the key
     */
    record Missing(String key) implements StoreReply {}

    /**
     * The value was written.
     *
     * @param key the key
     * @param revision the new revision
     */
    record Swapped(String key, long revision) implements StoreReply {}

    /**
     * The key has another revision than expected, or the lease is held by another owner. Nothing was written.
     *
     * @param key the key
     * @param revision the current revision, 0 if the key is absent
     */
    record Conflict(String key, long revision) implements StoreReply {}

    /**
     * The caller holds the lease.
     *
     * @param key the key of the lease
     * @param fence the fencing number, which increases with every change of owner and is unchanged by a renewal
     * @param ttlMillis the time after which the lease expires, counted from the sending of the call, in milliseconds
     */
    record Leased(String key, long fence, long ttlMillis) implements StoreReply {}

    /**
     * The store did not reply. A write may nevertheless have taken effect.
     *
     * @param key the key
     */
    record NoAnswer(String key) implements StoreReply {}
}
