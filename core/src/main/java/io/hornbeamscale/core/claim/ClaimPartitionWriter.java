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
 * Carries out the changes of one partition: one call to the store at a time, all waiting changes in one write. After a
 * conflict or a missing answer it reads the value again; a change that took effect recognises itself by its owner.
 */
final class PartitionWriter {
    private static final long FIRST_BACKOFF_MILLIS = 50;
    private static final long LAST_BACKOFF_MILLIS = 1_600;
    /** An unused value is dropped after this time, as a value takes up to 1 MB and a process may see all partitions. */
    private static final long CACHE_MILLIS = 10_000;

    private static final long REPLY_TIMEOUT_MILLIS = 5_000;

    private final String storeKey;
    private final ClaimSettings settings;
    private final ClaimRules rules;
    private final RandomGenerator random;
    private final Deque<Queued> queue = new ArrayDeque<>();
    private final List<Queued> batch = new ArrayList<>();
    private ClaimPartition known;
    private ClaimPartition candidate;
    private long revision;
    private StoreCall inFlight;
    private long sentMillis;
    private long nextWriteMillis = Long.MIN_VALUE;
    private long notBeforeMillis = Long.MIN_VALUE;
    private int failures;
    private long ticket;
    private long sentTicket;
    private long readTicket;

    PartitionWriter(int partition, ClaimSettings settings, RandomGenerator random) {
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

    void submit(long opId, ClaimOp op, ClaimEffects effects, long nowMillis) {
        ticket++;
        queue.add(new Queued(opId, op, ticket, null, false));
        step(effects, nowMillis);
    }

    /** Forgets a change that is not being written, and returns whether it certainly has no effect on the store. */
    boolean cancel(long opId) {
        Iterator<Queued> all = queue.iterator();
        while (all.hasNext()) {
            Queued queued = all.next();
            if (queued.opId() == opId) {
                all.remove();
                return !queued.isSent();
            }
        }
        return false;
    }

    void tick(ClaimEffects effects, long nowMillis) {
        if (inFlight != null && nowMillis - sentMillis >= REPLY_TIMEOUT_MILLIS) {
            forgetValue(nowMillis);
        }
        if (isIdle() && nowMillis - sentMillis >= CACHE_MILLIS) {
            known = null;
        }
        step(effects, nowMillis);
    }

    void storeReplied(StoreCall call, StoreReply reply, ClaimEffects effects, long nowMillis) {
        if (!call.equals(inFlight)) {
            return;
        }
        if (reply instanceof StoreReply.Found found) {
            read(found, nowMillis);
        } else if (reply instanceof StoreReply.Missing) {
            accept(ClaimPartition.empty(), 0);
        } else if (reply instanceof StoreReply.Swapped swapped) {
            for (Queued done : batch) {
                effects.resolve(done.opId(), done.outcome());
            }
            batch.clear();
            accept(candidate, swapped.revision());
        } else if (reply instanceof StoreReply.Conflict) {
            retryBatch();
            known = null;
            inFlight = null;
        } else {
            forgetValue(nowMillis);
        }
        step(effects, nowMillis);
    }

    private void read(StoreReply.Found found, long nowMillis) {
        try {
            accept(ClaimPartition.decode(found.value()), found.revision());
        } catch (IllegalArgumentException e) {
            // A value of a newer release must not be overwritten, so its claims count as unavailable.
            forgetValue(nowMillis);
        }
    }

    private void accept(ClaimPartition value, long newRevision) {
        known = value;
        revision = newRevision;
        readTicket = sentTicket;
        failures = 0;
        inFlight = null;
    }

    private void forgetValue(long nowMillis) {
        retryBatch();
        known = null;
        inFlight = null;
        long backoff = Math.min(LAST_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << Math.min(failures, 10));
        failures++;
        notBeforeMillis = nowMillis + backoff / 2 + random.nextLong(backoff / 2 + 1);
    }

    private void retryBatch() {
        for (int i = batch.size() - 1; i >= 0; i--) {
            queue.addFirst(batch.get(i).sent());
        }
        batch.clear();
    }

    private void step(ClaimEffects effects, long nowMillis) {
        if (inFlight != null || queue.isEmpty() || nowMillis < notBeforeMillis) {
            return;
        }
        if (known == null) {
            send(new StoreCall.Get(storeKey), effects, nowMillis);
            return;
        }
        if (evaluate(effects, nowMillis)) {
            send(new StoreCall.Get(storeKey), effects, nowMillis);
        }
    }

    /** Resolves what needs no write, writes the rest, and returns whether a fresh read is needed first. */
    private boolean evaluate(ClaimEffects effects, long nowMillis) {
        long epochMillis = nowMillis + settings.epochOffsetMillis();
        ClaimPartition copy = known.copy();
        copy.dropExpired(epochMillis);
        List<Queued> changed = new ArrayList<>();
        boolean isReadNeeded = false;
        Iterator<Queued> all = queue.iterator();
        while (all.hasNext()) {
            Queued queued = all.next();
            ClaimRules.Applied applied = rules.apply(copy, queued.op(), epochMillis);
            if (applied.isChanged()) {
                changed.add(queued.with(applied.outcome()));
            } else if (queued.ticket() <= readTicket && changed.isEmpty()) {
                all.remove();
                effects.resolve(queued.opId(), applied.outcome());
            } else if (queued.ticket() > readTicket) {
                isReadNeeded = true;
            }
        }
        if (changed.isEmpty() || nowMillis < nextWriteMillis) {
            return isReadNeeded;
        }
        for (Queued queued : changed) {
            cancel(queued.opId());
            batch.add(queued);
        }
        candidate = copy;
        nextWriteMillis = nowMillis + settings.writeIntervalMillis();
        send(new StoreCall.CompareAndSwap(storeKey, revision, copy.encode()), effects, nowMillis);
        return false;
    }

    private void send(StoreCall call, ClaimEffects effects, long nowMillis) {
        inFlight = call;
        sentMillis = nowMillis;
        sentTicket = ticket;
        effects.call(call);
    }

    private record Queued(long opId, ClaimOp op, long ticket, ClaimOutcome outcome, boolean isSent) {
        Queued with(ClaimOutcome known) {
            return new Queued(opId, op, ticket, known, isSent);
        }

        Queued sent() {
            return new Queued(opId, op, ticket, null, true);
        }
    }
}
