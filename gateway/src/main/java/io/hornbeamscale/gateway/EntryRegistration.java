package io.hornbeamscale.gateway;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Keeps this entry's address in the store, so that other entries find it. The key ends with a lease when the process
 * does. Methods run on the control thread.
 */
final class EntryRegistration {
    /**
     * How long the registration lasts without renewal, in milliseconds; entries that are cut off for less stay known.
     */
    private static final long TTL_MILLIS = 20_000;

    /** The pause between two renewals, in milliseconds; two may fail before the lease ends. */
    private static final long KEEP_MILLIS = 6_000;

    /** The pause before a failed registration is repeated, in milliseconds. */
    private static final long RETRY_MILLIS = 1_000;

    private final MetadataStore store;
    private final String key;
    private final byte[] value;
    private final Consumer<Runnable> control;
    private final BiConsumer<Long, Runnable> later;
    private long lease;

    EntryRegistration(
            MetadataStore store,
            String key,
            byte[] value,
            Consumer<Runnable> control,
            BiConsumer<Long, Runnable> later) {
        this.store = store;
        this.key = key;
        this.value = value;
        this.control = control;
        this.later = later;
    }

    void start() {
        store.lease(TTL_MILLIS, result -> control.accept(() -> leased(result)));
    }

    /** Ends the registration. */
    void end() {
        if (lease != 0) {
            store.end(lease, result -> {});
            lease = 0;
        }
    }

    private void leased(StoreResult result) {
        if (!(result instanceof StoreResult.Leased found)) {
            later.accept(RETRY_MILLIS, this::start);
            return;
        }
        lease = found.id();
        store.put(key, value, lease, written -> control.accept(() -> written(written)));
    }

    private void written(StoreResult result) {
        if (result instanceof StoreResult.Written) {
            later.accept(KEEP_MILLIS, this::keep);
        } else {
            later.accept(RETRY_MILLIS, this::start);
        }
    }

    private void keep() {
        store.keep(lease, result -> control.accept(() -> kept(result)));
    }

    private void kept(StoreResult result) {
        if (result instanceof StoreResult.LeaseGone) {
            start();
        } else {
            later.accept(result instanceof StoreResult.Leased ? KEEP_MILLIS : RETRY_MILLIS, this::keep);
        }
    }
}
