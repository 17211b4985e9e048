package io.hornbeamscale.core.store;

/** A call to the platform's store. Controllers return calls as values; a daemon executes them. */
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
     * Writes a value if the key has the expected revision.
     *
     * @param key the key
     * @param expectedRevision the revision that the key must have, 0 if it must be absent
     * @param value the new value, at most 1 MB
     */
    record CompareAndSwap(String key, long expectedRevision, String value) implements StoreCall {}

    /**
     * Acquires a lease, or renews it for the same owner.
     *
     * @param key the key of the lease
     * @param owner the owner, unique for each incarnation of a process
     * @param ttlMillis the time after which the lease expires unless it is renewed, in milliseconds
     */
    record AcquireLease(String key, String owner, long ttlMillis) implements StoreCall {}

    /**
     * Releases a lease.
     *
     * @param key the key of the lease
     * @param owner the owner that acquired it
     */
    record ReleaseLease(String key, String owner) implements StoreCall {}
}
