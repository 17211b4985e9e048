package io.hornbeamscale.measure.document;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A store in memory that counts calls and remembers the greatest value. */
final class CountingStore {
    private final Map<String, StoreReply.Found> values = new HashMap<>();
    private int reads;
    private int writes;
    private int maxBytes;

    StoreReply apply(StoreCall call) {
        StoreReply.Found found = values.get(call.key());
        if (call instanceof StoreCall.CompareAndSwap swap) {
            writes++;
            maxBytes = Math.max(maxBytes, swap.value().getBytes(StandardCharsets.UTF_8).length);
            long revision = found == null ? 0 : found.revision();
            if (revision != swap.expectedRevision()) {
                return new StoreReply.Conflict(call.key(), revision);
            }
            values.put(call.key(), new StoreReply.Found(call.key(), revision + 1, swap.value()));
            return new StoreReply.Swapped(call.key(), revision + 1);
        }
        reads++;
        return found == null ? new StoreReply.Missing(call.key()) : found;
    }

    int bytes(String key) {
        return values.get(key).value().getBytes(StandardCharsets.UTF_8).length;
    }

    int reads() {
        return reads;
    }

    int writes() {
        return writes;
    }

    int maxBytes() {
        return maxBytes;
    }

    int keys() {
        return values.size();
    }
}
