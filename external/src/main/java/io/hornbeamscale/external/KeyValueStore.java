package io.hornbeamscale.external;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.concurrent.CompletionStage;

/** The platform's key-value store. Every call and every pending watch counts towards its rate limits. */
public interface KeyValueStore {
    /** The greatest size of a value, in bytes of UTF-8. */
    int MAX_VALUE_BYTES = 1_000_000;

    /**
     * Executes a call. The reply to a released lease is {@link StoreReply.Missing}.
     *
     * @param call the call, not null
     * @return the reply; {@link StoreReply.NoAnswer} once the call has timed out, and for a compare-and-swap also as
     *     soon as its outcome is unknown; fails with {@code payload_too_large} for a value above
     *     {@link #MAX_VALUE_BYTES}
     */
    CompletionStage<StoreReply> execute(StoreCall call);

    /**
     * Waits for a newer revision of a key.
     *
     * @param key the key, not null
     * @param afterRevision the revision that the caller has, 0 for none
     * @param waitMillis how long the store waits for a change, in milliseconds, not negative
     * @return the reply
     */
    CompletionStage<WatchReply> watch(String key, long afterRevision, long waitMillis);
}
