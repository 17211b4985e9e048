package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An in-memory store that keeps all values ever written to the document's key and rejects values that are too large.
 */
final class SimulatedStore {
    private record Slot(long revision, String value) {}

    private final int maxValueBytes;
    private final Map<String, Slot> slots = new HashMap<>();
    private final List<PublishedHead> heads = new ArrayList<>();
    private int calls;

    SimulatedStore(int maxValueBytes) {
        this.maxValueBytes = maxValueBytes;
    }

    StoreReply apply(StoreCall call) {
        calls++;
        Slot slot = slots.get(call.key());
        if (call instanceof StoreCall.Get) {
            return slot == null
                    ? new StoreReply.Missing(call.key())
                    : new StoreReply.Found(call.key(), slot.revision(), slot.value());
        }
        StoreCall.CompareAndSwap swap = (StoreCall.CompareAndSwap) call;
        long revision = slot == null ? 0 : slot.revision();
        if (swap.value().getBytes(StandardCharsets.UTF_8).length > maxValueBytes) {
            throw new AssertionError(swap.key() + " exceeds " + maxValueBytes + " bytes");
        }
        if (revision != swap.expectedRevision()) {
            return new StoreReply.Conflict(swap.key(), revision);
        }
        slots.put(swap.key(), new Slot(revision + 1, swap.value()));
        if (swap.key().equals(PublishedHead.KEY)) {
            heads.add(PublishedHead.decode(swap.value()));
        }
        return new StoreReply.Swapped(swap.key(), revision + 1);
    }

    /** Returns the value that the document's key had a number of writes ago; other keys are read normally. */
    StoreReply outdated(StoreCall call, int writes) {
        int revision = heads.size() - writes;
        return revision <= 0 || !call.key().equals(PublishedHead.KEY)
                ? apply(call)
                : new StoreReply.Found(
                        call.key(), revision, heads.get(revision - 1).encode());
    }

    List<PublishedHead> heads() {
        return heads;
    }

    String value(String key) {
        Slot slot = slots.get(key);
        return slot == null ? null : slot.value();
    }

    int calls() {
        return calls;
    }
}
