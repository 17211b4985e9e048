package io.hornbeamscale.external;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.concurrent.CompletionStage;

/** The platform's key-value store. Every call and every pending watch counts towards its rates. */
public interface KeyValueStore {
    /** The greatest size of a value, in bytes of UTF-8. */
    int MAX_VALUE_BYTES = 1_000_000;

    /**
     * Carries out a call. A released lease is answered with {@link StoreReply.Missing}.
     *
     * @param call the call, not null
     * @return the reply; {@link StoreReply.NoAnswer} once the call budget is used up, and for a write also as soon as
     *     its outcome is unknown; fails with {@code payload_too_large} for a value above {@link #MAX_VALUE_BYTES}
     */
    CompletionStage<StoreReply> execute(StoreCall call);

    /**
     * Waits for a revision above a given one.
     *
     * @param key the key, not null
     * @param afterRevision the revision that is known, 0 for none
     * @param waitMillis how long to wait, in milliseconds
     * @return the change, or that there was none
     */
    CompletionStage<WatchReply> watch(String key, long afterRevision, long waitMillis);
}
