package io.hornbeamscale.measure.document;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** An in-memory store that counts calls and records the size of the largest value. */
final class CountingStore {
    private final Map<String, StoreReply.Found> values = new HashMap<>();
    private int reads;
    private int writes;
    private int maxValueBytes;

    StoreReply apply(StoreCall call) {
        StoreReply.Found found = values.get(call.key());
        if (call instanceof StoreCall.CompareAndSwap swap) {
            writes++;
            maxValueBytes = Math.max(maxValueBytes, swap.value().getBytes(StandardCharsets.UTF_8).length);
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

    int valueBytes(String key) {
        return values.get(key).value().getBytes(StandardCharsets.UTF_8).length;
    }

    int reads() {
        return reads;
    }

    int writes() {
        return writes;
    }

    int maxValueBytes() {
        return maxValueBytes;
    }

    int keyCount() {
        return values.size();
    }
}
