package io.hornbeamscale.gateway;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Keeps this entry's address in the store, so that other entries find it. The key has a lease, so it expires after the
 * process has ended. Methods run on the control thread.
 */
final class EntryRegistration {
    /**
     * How long the lease lasts without renewal, in milliseconds; an entry that is cut off from the store for less stays
     * registered.
     */
    private static final long TTL_MILLIS = 20_000;

    /** The interval between two renewals, in milliseconds; two may fail before the lease ends. */
    private static final long RENEWAL_INTERVAL_MILLIS = 6_000;

    /** The pause before a failed registration is repeated, in milliseconds. */
    private static final long RETRY_INTERVAL_MILLIS = 1_000;

    private final MetadataStore store;
    private final String key;
    private final byte[] value;
    private final Consumer<Runnable> control;
    private final BiConsumer<Long, Runnable> executeLater;
    private long lease;

    EntryRegistration(
            MetadataStore store,
            String key,
            byte[] value,
            Consumer<Runnable> control,
            BiConsumer<Long, Runnable> executeLater) {
        this.store = store;
        this.key = key;
        this.value = value;
        this.control = control;
        this.executeLater = executeLater;
    }

    void start() {
        store.createLease(TTL_MILLIS, result -> control.accept(() -> leased(result)));
    }

    /** Ends the registration. */
    void end() {
        if (lease != 0) {
            store.endLease(lease, result -> {});
            lease = 0;
        }
    }

    private void leased(StoreResult result) {
        if (!(result instanceof StoreResult.Leased found)) {
            executeLater.accept(RETRY_INTERVAL_MILLIS, this::start);
            return;
        }
        lease = found.id();
        store.put(key, value, lease, written -> control.accept(() -> written(written)));
    }

    private void written(StoreResult result) {
        if (result instanceof StoreResult.Written) {
            executeLater.accept(RENEWAL_INTERVAL_MILLIS, this::renew);
        } else {
            executeLater.accept(RETRY_INTERVAL_MILLIS, this::start);
        }
    }

    private void renew() {
        store.renewLease(lease, result -> control.accept(() -> renewed(result)));
    }

    private void renewed(StoreResult result) {
        if (result instanceof StoreResult.LeaseGone) {
            start();
        } else {
            executeLater.accept(
                    result instanceof StoreResult.Leased ? RENEWAL_INTERVAL_MILLIS : RETRY_INTERVAL_MILLIS,
                    this::renew);
        }
    }
}
