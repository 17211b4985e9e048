package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.Optional;

/**
 * Stores the entries of a trail as a segment, so that they can be removed from the head. The segment is written only if
 * it is absent; if it exists, another writer has stored the same entries or some of them, and only these are removed.
 * So an entry is removed from the head only after a segment was confirmed to contain it.
 *
 * @param <T> the type of the entries
 */
final class SegmentWriter<T extends TrailEntry> {
    private final Trail<T> trail;
    private final Class<T> type;
    private final String key;
    private Trail<T> remaining;

    SegmentWriter(Trail<T> trail, Class<T> type, String prefix) {
        this.trail = trail;
        this.type = type;
        this.key = trail.segmentKey(prefix);
    }

    StoreCall writeCall() {
        return new StoreCall.CompareAndSwap(key, 0, DocumentJson.write(trail.toTree()));
    }

    /** Returns the trail without the stored entries; empty until the segment is confirmed. */
    Optional<Trail<T>> remaining() {
        return Optional.ofNullable(remaining);
    }

    /** Handles a reply and returns the next call, which is not needed once {@link #remaining()} is present. */
    StoreCall onReply(StoreReply reply) {
        if (reply instanceof StoreReply.Swapped) {
            remaining = trail.after(key, trail);
        } else if (reply instanceof StoreReply.Found found) {
            remaining = trail.after(key, Trail.fromTree(DocumentJson.parse(found.value()), type));
        } else if (reply instanceof StoreReply.Missing) {
            return writeCall();
        }
        return new StoreCall.Get(key);
    }
}
