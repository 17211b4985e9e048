package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * An operation that makes one store call at a time until it has a result.
 *
 * @param <R> the type of the result
 */
public interface StoreOperation<R> {
    /**
     * Starts the operation.
     *
     * @param nowMillis the current time in milliseconds
     * @return the first step, never null
     */
    StoreStep<R> start(long nowMillis);

    /**
     * Handles the reply to the last call.
     *
     * @param reply the reply, not null
     * @param nowMillis the current time in milliseconds
     * @return the next step, never null
     */
    StoreStep<R> onReply(StoreReply reply, long nowMillis);

    /**
     * Runs the operation until it has a result.
     *
     * @param store executes calls; must not throw; not null
     * @param clock returns the current time in milliseconds, not null
     * @param sleep waits for the given number of milliseconds, not null
     * @return the result
     */
    default R run(Function<StoreCall, StoreReply> store, LongSupplier clock, LongConsumer sleep) {
        StoreStep<R> step = start(clock.getAsLong());
        while (step instanceof StoreStep.Call<R> call) {
            if (call.delayMillis() > 0) {
                sleep.accept(call.delayMillis());
            }
            step = onReply(store.apply(call.call()), clock.getAsLong());
        }
        return ((StoreStep.Done<R>) step).result();
    }
}
