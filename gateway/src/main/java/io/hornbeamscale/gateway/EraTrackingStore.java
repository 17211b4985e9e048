package io.hornbeamscale.gateway;

import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Reports the era that each result states before it delivers the result, so that a restored store is noticed by
 * whichever call reaches it first.
 */
final class EraTrackingStore implements MetadataStore {
    private final MetadataStore store;
    private final LongConsumer eras;

    /**
     * Creates a store that passes all calls on.
     *
     * @param eras receives the era of each result, on the thread on which the result arrives
     */
    EraTrackingStore(MetadataStore store, LongConsumer eras) {
        this.store = store;
        this.eras = eras;
    }

    @Override
    public void list(String prefix, String afterKey, Consumer<StoreResult> done) {
        store.list(prefix, afterKey, tracking(done));
    }

    @Override
    public void watch(String prefix, long afterRevision, long waitMillis, Consumer<StoreResult> done) {
        store.watch(prefix, afterRevision, waitMillis, tracking(done));
    }

    @Override
    public void put(String key, byte[] value, long lease, Consumer<StoreResult> done) {
        store.put(key, value, lease, tracking(done));
    }

    @Override
    public void compareAndPut(String key, long expectedRevision, byte[] value, Consumer<StoreResult> done) {
        store.compareAndPut(key, expectedRevision, value, tracking(done));
    }

    @Override
    public void createLease(long ttlMillis, Consumer<StoreResult> done) {
        store.createLease(ttlMillis, tracking(done));
    }

    @Override
    public void renewLease(long lease, Consumer<StoreResult> done) {
        store.renewLease(lease, tracking(done));
    }

    @Override
    public void endLease(long lease, Consumer<StoreResult> done) {
        store.endLease(lease, tracking(done));
    }

    private Consumer<StoreResult> tracking(Consumer<StoreResult> done) {
        return result -> {
            eras.accept(result.era());
            done.accept(result);
        };
    }
}
