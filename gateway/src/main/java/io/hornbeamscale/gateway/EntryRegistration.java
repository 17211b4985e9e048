package io.hornbeamscale.gateway;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

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

    /** The time over which entries spread their registrations after the store was restored, in milliseconds. */
    static final long MAX_RESTORE_DELAY_MILLIS = 1_000;

    private final MetadataStore store;
    private final String key;
    private final byte[] value;
    private final Consumer<Runnable> control;
    private final BiConsumer<Long, Runnable> executeLater;
    private final RandomGenerator random;
    private long lease;
    private long era;
    private int attempt;
    private boolean isEnded;

    EntryRegistration(
            MetadataStore store,
            String key,
            byte[] value,
            Consumer<Runnable> control,
            BiConsumer<Long, Runnable> executeLater,
            RandomGenerator random) {
        this.store = store;
        this.key = key;
        this.value = value;
        this.control = control;
        this.executeLater = executeLater;
        this.random = random;
    }

    void start() {
        attempt++;
        lease = 0;
        store.createLease(TTL_MILLIS, whenCurrent(this::leased));
    }

    /** Ends the registration. */
    void end() {
        isEnded = true;
        if (lease != 0) {
            store.endLease(lease, result -> {});
            lease = 0;
        }
    }

    /**
     * Registers anew after the store was restored from an older copy. The lease of the earlier era is neither renewed
     * nor ended, since its id may have been given to another entry meanwhile.
     *
     * @param later the era that began
     */
    void eraChanged(long later) {
        if (later <= era) {
            return;
        }
        era = later;
        attempt++;
        lease = 0;
        after(random.nextLong(MAX_RESTORE_DELAY_MILLIS), this::start);
    }

    private void leased(StoreResult result) {
        if (!(result instanceof StoreResult.Leased found) || found.era() < era) {
            after(RETRY_INTERVAL_MILLIS, this::start);
            return;
        }
        era = found.era();
        lease = found.id();
        store.put(key, value, lease, whenCurrent(this::written));
    }

    private void written(StoreResult result) {
        if (result instanceof StoreResult.Written && result.era() == era) {
            after(RENEWAL_INTERVAL_MILLIS, this::renew);
        } else {
            after(RETRY_INTERVAL_MILLIS, this::start);
        }
    }

    private void renew() {
        store.renewLease(lease, whenCurrent(this::renewed));
    }

    private void renewed(StoreResult result) {
        if (result instanceof StoreResult.LeaseGone || result.era() > era) {
            start();
        } else {
            after(result instanceof StoreResult.Leased ? RENEWAL_INTERVAL_MILLIS : RETRY_INTERVAL_MILLIS, this::renew);
        }
    }

    private void after(long millis, Runnable task) {
        executeLater.accept(millis, ifCurrent(task));
    }

    private Consumer<StoreResult> whenCurrent(Consumer<StoreResult> handler) {
        int current = attempt;
        return result -> control.accept(() -> {
            if (current == attempt && !isEnded) {
                handler.accept(result);
            }
        });
    }

    private Runnable ifCurrent(Runnable task) {
        int current = attempt;
        return () -> {
            if (current == attempt && !isEnded) {
                task.run();
            }
        };
    }
}
