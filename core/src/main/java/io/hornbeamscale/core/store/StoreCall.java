package io.hornbeamscale.core.store;

/** A call to the platform's store. Controllers emit calls as values; a daemon carries them out. */
public sealed interface StoreCall {
    /**
     * Returns the key that the call reads or writes.
     *
     * @return the key, never null
     */
    String key();

    /**
     * Reads a value.
     *
     * @param key the key
     */
    record Get(String key) implements StoreCall {}

    /**
     * Writes a value if the key still has the expected revision.
     *
     * @param key the key
     * @param expectedRevision the revision read before, 0 if the key must be absent
     * @param value the new value, at most 1 MB
     */
    record CompareAndSwap(String key, long expectedRevision, String value) implements StoreCall {}

    /**
     * Acquires a lease, or renews it for the same owner.
     *
     * @param key the key of the lease
     * @param owner the owner, unique for each incarnation of a process
     * @param ttlMillis how long the lease lasts without renewal, in milliseconds
     */
    record AcquireLease(String key, String owner, long ttlMillis) implements StoreCall {}

    /**
     * Gives a lease back.
     *
     * @param key the key of the lease
     * @param owner the owner that acquired it
     */
    record ReleaseLease(String key, String owner) implements StoreCall {}
}
