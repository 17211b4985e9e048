package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.store.StoreCall;

/**
 * The next step of a {@link StoreOperation}.
 *
 * @param <R> the type of the result
 */
public sealed interface StoreStep<R> {
    /**
     * The store must be called.
     *
     * @param <R> the type of the result
     * @param call the call
     * @param delayMillis how long to wait before the call, in milliseconds
     */
    record Call<R>(StoreCall call, long delayMillis) implements StoreStep<R> {}

    /**
     * The operation has ended.
     *
     * @param <R> the type of the result
     * @param result the result
     */
    record Done<R>(R result) implements StoreStep<R> {}
}
