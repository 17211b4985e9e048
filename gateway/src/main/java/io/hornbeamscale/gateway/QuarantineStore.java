package io.hornbeamscale.gateway;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.nio.charset.StandardCharsets;

/**
 * Executes the store calls of the quarantine. A write whose condition stems from an earlier era of the store than the
 * one in which it took effect is reported as a conflict, since revisions are given out again. Runs on the I/O thread.
 */
final class QuarantineStore {
    private final MetadataStore store;
    private final String prefix;
    private final TrafficState traffic;
    private long readEra;
    private long era;

    QuarantineStore(MetadataStore store, String prefix, TrafficState traffic) {
        this.store = store;
        this.prefix = prefix;
        this.traffic = traffic;
    }

    /** Handles that the store was restored from an older copy. */
    void eraChanged(long later) {
        era = Math.max(era, later);
    }

    void call(StoreCall call) {
        String key = prefix + call.key();
        if (call instanceof StoreCall.CompareAndSwap swap) {
            byte[] value = swap.value().getBytes(StandardCharsets.UTF_8);
            store.compareAndPut(key, swap.expectedRevision(), value, result -> reply(call, written(call, result)));
        } else {
            store.list(key, "", result -> reply(call, found(call, key, result)));
        }
    }

    private void reply(StoreCall call, StoreReply reply) {
        traffic.thread().execute(() -> traffic.crashDetector().storeReplied(call, reply, ControlLoop.now()));
    }

    private StoreReply written(StoreCall call, StoreResult result) {
        if (result instanceof StoreResult.Written written && written.era() == readEra && readEra >= era) {
            return new StoreReply.Swapped(call.key(), written.revision().revision());
        }
        return result instanceof StoreResult.Conflict || result instanceof StoreResult.Written
                ? new StoreReply.Conflict(call.key(), 0)
                : new StoreReply.NoAnswer(call.key());
    }

    private StoreReply found(StoreCall call, String key, StoreResult result) {
        if (!(result instanceof StoreResult.Items items) || items.era() < era) {
            return new StoreReply.NoAnswer(call.key());
        }
        readEra = items.era();
        for (StoreItem item : items.items()) {
            if (item.key().equals(key) && !item.isRemoved()) {
                return new StoreReply.Found(
                        call.key(), item.revision().revision(), new String(item.value(), StandardCharsets.UTF_8));
            }
        }
        return new StoreReply.Missing(call.key());
    }
}
