package io.hornbeamscale.external;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;

/** An in-memory store. Calls complete at once; a watch completes with the next write of its key or by {@link #tick}. */
public final class FakeKeyValueStore implements KeyValueStore {
    private final LongSupplier clock;
    private final Map<String, List<StoreReply.Found>> values = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private final List<PendingWatch> watches = new ArrayList<>();
    private boolean isDown;
    private boolean losesNextResponse;
    private int olderByRevisions;
    private long calls;

    /**
     * Creates an empty store.
     *
     * @param clock the current time, in milliseconds, not null
     */
    public FakeKeyValueStore(LongSupplier clock) {
        this.clock = clock;
    }

    /**
     * Starts or ends an outage.
     *
     * @param isDown whether calls get no reply
     */
    public synchronized void setDown(boolean isDown) {
        this.isDown = isDown;
    }

    /** Loses the response of the next call, after the call took effect. */
    public synchronized void loseNextResponse() {
        losesNextResponse = true;
    }

    /**
     * Returns an older value for the next read.
     *
     * @param revisions by how many writes the value is older
     */
    public synchronized void returnOlderValueNext(int revisions) {
        olderByRevisions = revisions;
    }

    /**
     * Returns the number of calls and watches.
     *
     * @return the number since the start
     */
    public synchronized long calls() {
        return calls;
    }

    @Override
    public synchronized CompletionStage<StoreReply> execute(StoreCall call) {
        calls++;
        if (call instanceof StoreCall.CompareAndSwap swap && HttpKeyValueStore.isTooLarge(swap.value())) {
            return CompletableFuture.failedFuture(
                    new ServingException(ErrorKind.PAYLOAD_TOO_LARGE, "the value of " + call.key() + " is too large"));
        }
        if (isDown) {
            return CompletableFuture.completedFuture(new StoreReply.NoAnswer(call.key()));
        }
        StoreReply reply = apply(call);
        boolean isLost = losesNextResponse;
        losesNextResponse = false;
        if (isLost && call instanceof StoreCall.CompareAndSwap) {
            return CompletableFuture.completedFuture(new StoreReply.NoAnswer(call.key()));
        }
        return CompletableFuture.completedFuture(reply);
    }

    @Override
    public synchronized CompletionStage<WatchReply> watch(String key, long afterRevision, long waitMillis) {
        calls++;
        if (isDown) {
            return CompletableFuture.completedFuture(new WatchReply.NoAnswer(key));
        }
        PendingWatch watch =
                new PendingWatch(key, afterRevision, clock.getAsLong() + waitMillis, new CompletableFuture<>());
        watches.add(watch);
        tick();
        return watch.result();
    }

    /** Completes the watches whose key has changed or whose time has passed. */
    public synchronized void tick() {
        for (PendingWatch watch : List.copyOf(watches)) {
            List<StoreReply.Found> history = values.getOrDefault(watch.key(), List.of());
            StoreReply.Found last = history.isEmpty() ? null : history.get(history.size() - 1);
            if (last != null && last.revision() > watch.afterRevision()) {
                watches.remove(watch);
                watch.result().complete(new WatchReply.Changed(watch.key(), last.revision(), last.value()));
            } else if (clock.getAsLong() >= watch.endMillis()) {
                watches.remove(watch);
                watch.result().complete(new WatchReply.Unchanged(watch.key()));
            }
        }
    }

    private StoreReply apply(StoreCall call) {
        if (call instanceof StoreCall.CompareAndSwap swap) {
            return swap(swap);
        }
        if (call instanceof StoreCall.AcquireLease acquire) {
            return acquire(acquire);
        }
        if (call instanceof StoreCall.ReleaseLease release) {
            return release(release);
        }
        List<StoreReply.Found> history = values.get(call.key());
        int index = history == null ? 0 : Math.max(0, history.size() - 1 - olderByRevisions);
        olderByRevisions = 0;
        return history == null ? new StoreReply.Missing(call.key()) : history.get(index);
    }

    private StoreReply swap(StoreCall.CompareAndSwap call) {
        List<StoreReply.Found> history = values.computeIfAbsent(call.key(), k -> new ArrayList<>());
        long current = history.isEmpty() ? 0 : history.get(history.size() - 1).revision();
        if (current != call.expectedRevision()) {
            return new StoreReply.Conflict(call.key(), current);
        }
        history.add(new StoreReply.Found(call.key(), current + 1, call.value()));
        tick();
        return new StoreReply.Swapped(call.key(), current + 1);
    }

    private StoreReply acquire(StoreCall.AcquireLease call) {
        Lease lease = leases.getOrDefault(call.key(), new Lease("", 0, 0));
        boolean isHeld = lease.endMillis() > clock.getAsLong();
        boolean isOwn = lease.owner().equals(call.owner());
        if (isHeld && !isOwn) {
            return new StoreReply.Conflict(call.key(), lease.fence());
        }
        long fence = isHeld ? lease.fence() : lease.fence() + 1;
        leases.put(call.key(), new Lease(call.owner(), fence, clock.getAsLong() + call.ttlMillis()));
        return new StoreReply.Leased(call.key(), fence, call.ttlMillis());
    }

    private StoreReply release(StoreCall.ReleaseLease call) {
        Lease lease = leases.get(call.key());
        if (lease == null || lease.endMillis() <= clock.getAsLong()) {
            return new StoreReply.Missing(call.key());
        }
        if (!lease.owner().equals(call.owner())) {
            return new StoreReply.Conflict(call.key(), lease.fence());
        }
        leases.put(call.key(), new Lease("", lease.fence(), 0));
        return new StoreReply.Missing(call.key());
    }

    private record Lease(String owner, long fence, long endMillis) {}

    private record PendingWatch(String key, long afterRevision, long endMillis, CompletableFuture<WatchReply> result) {}
}
