package io.hornbeamscale.core.faults;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.HashMap;
import java.util.Map;

/** An in-memory key-value store that behaves like the platform's store. */
public final class InMemoryStore {
    private final Map<String, Value> values = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private long writes;
    private long calls;

    public StoreReply apply(StoreCall call, long nowMillis) {
        calls++;
        Value value = values.get(call.key());
        long revision = value == null ? 0 : value.revision();
        if (call instanceof StoreCall.Get) {
            return value == null
                    ? new StoreReply.Missing(call.key())
                    : new StoreReply.Found(call.key(), revision, value.text());
        }
        if (call instanceof StoreCall.CompareAndSwap swap) {
            if (swap.value().length() > 1_000_000) {
                throw new IllegalArgumentException("value exceeds 1 MB: " + call.key());
            }
            if (swap.expectedRevision() != revision) {
                return new StoreReply.Conflict(call.key(), revision);
            }
            writes++;
            values.put(call.key(), new Value(revision + 1, swap.value()));
            return new StoreReply.Swapped(call.key(), revision + 1);
        }
        if (call instanceof StoreCall.AcquireLease acquire) {
            return acquire(acquire, nowMillis);
        }
        StoreCall.ReleaseLease release = (StoreCall.ReleaseLease) call;
        Lease lease = leases.get(call.key());
        if (lease != null && lease.owner().equals(release.owner())) {
            leases.put(call.key(), new Lease("", lease.fence(), nowMillis));
        }
        return new StoreReply.Missing(call.key());
    }

    public long writes() {
        return writes;
    }

    public long calls() {
        return calls;
    }

    private StoreReply acquire(StoreCall.AcquireLease call, long nowMillis) {
        Lease lease = leases.getOrDefault(call.key(), new Lease("", 0, nowMillis));
        boolean isOwner = lease.owner().equals(call.owner()) && lease.untilMillis() > nowMillis;
        if (!isOwner && lease.untilMillis() > nowMillis) {
            return new StoreReply.Conflict(call.key(), lease.fence());
        }
        long fence = isOwner ? lease.fence() : lease.fence() + 1;
        leases.put(call.key(), new Lease(call.owner(), fence, nowMillis + call.ttlMillis()));
        return new StoreReply.Leased(call.key(), fence, call.ttlMillis());
    }

    private record Value(long revision, String text) {}

    private record Lease(String owner, long fence, long untilMillis) {}
}
