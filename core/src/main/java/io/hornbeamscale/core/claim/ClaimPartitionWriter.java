package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Carries out the operations on one partition: one store call at a time, all waiting operations in one write. After a
 * conflict or a missing reply, it reads the value again; an operation that took effect is recognised by its owner.
 */
final class ClaimPartitionWriter {
    private static final long MIN_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 1_600;
    /** How long an unused value is cached; a value takes up to 1 MB, and a process may read all partitions. */
    private static final long CACHE_TTL_MILLIS = 10_000;

    private static final long REPLY_TIMEOUT_MILLIS = 5_000;

    private final String storeKey;
    private final ClaimSettings settings;
    private final ClaimRules rules;
    private final RandomGenerator random;
    private final Deque<QueuedOp> queue = new ArrayDeque<>();
    private final List<QueuedOp> batch = new ArrayList<>();
    private ClaimPartition cached;
    private ClaimPartition proposed;
    private long revision;
    private StoreCall inFlight;
    private long sentMillis;
    private long nextWriteMillis = Long.MIN_VALUE;
    private long notBeforeMillis = Long.MIN_VALUE;
    private int failures;
    /** The sequence number of the latest submitted operation. */
    private long lastSequence;
    /** The value of {@code lastSequence} when the latest store call was sent. */
    private long sentSequence;
    /** Operations up to this sequence number were submitted before the cached value was read or written. */
    private long readSequence;

    ClaimPartitionWriter(int partition, ClaimSettings settings, RandomGenerator random) {
        this.storeKey = "claims/" + partition;
        this.settings = settings;
        this.rules = new ClaimRules(settings);
        this.random = random;
    }

    boolean isIdle() {
        return queue.isEmpty() && inFlight == null;
    }

    int waiting() {
        return queue.size() + batch.size();
    }

    void submit(long opId, ClaimOp op, ClaimWriteListener listener, long nowMillis) {
        lastSequence++;
        queue.add(new QueuedOp(opId, op, lastSequence, null, false));
        sendNext(listener, nowMillis);
    }

    /** Removes an operation that is not being written; returns whether it is known to have no effect on the store. */
    boolean cancel(long opId) {
        Iterator<QueuedOp> all = queue.iterator();
        while (all.hasNext()) {
            QueuedOp queued = all.next();
            if (queued.opId() == opId) {
                all.remove();
                return !queued.isSent();
            }
        }
        return false;
    }

    void tick(ClaimWriteListener listener, long nowMillis) {
        if (inFlight != null && nowMillis - sentMillis >= REPLY_TIMEOUT_MILLIS) {
            backOff(nowMillis);
        }
        if (isIdle() && nowMillis - sentMillis >= CACHE_TTL_MILLIS) {
            cached = null;
        }
        sendNext(listener, nowMillis);
    }

    void storeReplied(StoreCall call, StoreReply reply, ClaimWriteListener listener, long nowMillis) {
        if (!call.equals(inFlight)) {
            return;
        }
        if (reply instanceof StoreReply.Found found) {
            read(found, nowMillis);
        } else if (reply instanceof StoreReply.Missing) {
            cache(ClaimPartition.empty(), 0);
        } else if (reply instanceof StoreReply.Swapped swapped) {
            for (QueuedOp done : batch) {
                listener.opCompleted(done.opId(), done.outcome());
            }
            batch.clear();
            cache(proposed, swapped.revision());
        } else if (reply instanceof StoreReply.Conflict) {
            requeueBatch();
            cached = null;
            inFlight = null;
        } else {
            backOff(nowMillis);
        }
        sendNext(listener, nowMillis);
    }

    private void read(StoreReply.Found found, long nowMillis) {
        try {
            cache(ClaimPartition.decode(found.value()), found.revision());
        } catch (IllegalArgumentException e) {
            // A value written by a newer release must not be overwritten, so its claims count as unavailable.
            backOff(nowMillis);
        }
    }

    private void cache(ClaimPartition value, long newRevision) {
        cached = value;
        revision = newRevision;
        readSequence = sentSequence;
        failures = 0;
        inFlight = null;
    }

    private void backOff(long nowMillis) {
        requeueBatch();
        cached = null;
        inFlight = null;
        long backoff = Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << Math.min(failures, 10));
        failures++;
        notBeforeMillis = nowMillis + backoff / 2 + random.nextLong(backoff / 2 + 1);
    }

    private void requeueBatch() {
        for (int i = batch.size() - 1; i >= 0; i--) {
            queue.addFirst(batch.get(i).asSent());
        }
        batch.clear();
    }

    private void sendNext(ClaimWriteListener listener, long nowMillis) {
        if (inFlight != null || queue.isEmpty() || nowMillis < notBeforeMillis) {
            return;
        }
        if (cached == null) {
            send(new StoreCall.Get(storeKey), listener, nowMillis);
            return;
        }
        if (applyQueued(listener, nowMillis)) {
            send(new StoreCall.Get(storeKey), listener, nowMillis);
        }
    }

    /** Completes operations that need no write, writes the others, and returns whether a new read is needed first. */
    private boolean applyQueued(ClaimWriteListener listener, long nowMillis) {
        long epochMillis = nowMillis + settings.epochOffsetMillis();
        ClaimPartition copy = cached.copy();
        copy.dropExpired(epochMillis);
        List<QueuedOp> changed = new ArrayList<>();
        boolean isReadNeeded = false;
        Iterator<QueuedOp> all = queue.iterator();
        while (all.hasNext()) {
            QueuedOp queued = all.next();
            ClaimRules.Applied applied = rules.apply(copy, queued.op(), epochMillis);
            if (applied.isChanged()) {
                changed.add(queued.withOutcome(applied.outcome()));
            } else if (queued.sequence() <= readSequence && changed.isEmpty()) {
                all.remove();
                listener.opCompleted(queued.opId(), applied.outcome());
            } else if (queued.sequence() > readSequence) {
                isReadNeeded = true;
            }
        }
        if (changed.isEmpty() || nowMillis < nextWriteMillis) {
            return isReadNeeded;
        }
        for (QueuedOp queued : changed) {
            cancel(queued.opId());
            batch.add(queued);
        }
        proposed = copy;
        nextWriteMillis = nowMillis + settings.writeIntervalMillis();
        send(new StoreCall.CompareAndSwap(storeKey, revision, copy.encode()), listener, nowMillis);
        return false;
    }

    private void send(StoreCall call, ClaimWriteListener listener, long nowMillis) {
        inFlight = call;
        sentMillis = nowMillis;
        sentSequence = lastSequence;
        listener.storeCallNeeded(call);
    }

    private record QueuedOp(long opId, ClaimOp op, long sequence, ClaimOutcome outcome, boolean isSent) {
        QueuedOp withOutcome(ClaimOutcome newOutcome) {
            return new QueuedOp(opId, op, sequence, newOutcome, isSent);
        }

        QueuedOp asSent() {
            return new QueuedOp(opId, op, sequence, null, true);
        }
    }
}
