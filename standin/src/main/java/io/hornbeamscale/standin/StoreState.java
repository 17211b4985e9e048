package io.hornbeamscale.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The values and leases of the store stand-in. Safe for use by several threads. */
final class StoreState {
    /** Older values are kept for the fault that answers with an older value. */
    private static final int MAX_HISTORY = 64;

    private final int maxValueBytes;
    private final Map<String, List<Value>> values = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private final List<Waiter> waiters = new ArrayList<>();

    StoreState(int maxValueBytes) {
        this.maxValueBytes = maxValueBytes;
    }

    synchronized Map<String, Object> get(String key, int olderBy) {
        List<Value> history = values.get(key);
        if (history == null) {
            return reply("missing", key);
        }
        Value value = history.get(Math.max(0, history.size() - 1 - olderBy));
        Map<String, Object> node = reply("found", key);
        node.put("revision", value.revision());
        node.put("value", value.text());
        return node;
    }

    synchronized long revision(String key) {
        List<Value> history = values.get(key);
        return history == null ? 0 : history.get(history.size() - 1).revision();
    }

    Map<String, Object> compareAndSwap(String key, long expected, String text) {
        Map<String, Object> node;
        List<Waiter> ready = new ArrayList<>();
        synchronized (this) {
            long present = revision(key);
            if (present != expected) {
                node = reply("conflict", key);
                node.put("revision", present);
                return node;
            }
            List<Value> history = values.computeIfAbsent(key, k -> new ArrayList<>());
            history.add(new Value(present + 1, text));
            if (history.size() > MAX_HISTORY) {
                history.remove(0);
            }
            node = reply("swapped", key);
            node.put("revision", present + 1);
            waiters.removeIf(w -> w.key().equals(key) && w.afterRevision() < present + 1 && ready.add(w));
        }
        ready.forEach(w -> w.wake().run());
        return node;
    }

    boolean isTooLarge(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length > maxValueBytes;
    }

    synchronized Map<String, Object> acquire(String key, String owner, long ttlMillis, long nowMillis) {
        Lease lease = leases.get(key);
        boolean isFree = lease == null || lease.expiresMillis() <= nowMillis;
        boolean isOwn = lease != null && lease.owner().equals(owner);
        if (!isFree && !isOwn) {
            Map<String, Object> node = reply("conflict", key);
            node.put("revision", lease.fence());
            return node;
        }
        long last = lease == null ? 0 : lease.fence();
        long fence = isOwn && !isFree ? last : last + 1;
        leases.put(key, new Lease(owner, fence, nowMillis + ttlMillis));
        Map<String, Object> node = reply("leased", key);
        node.put("fence", fence);
        node.put("ttlMillis", ttlMillis);
        return node;
    }

    synchronized Map<String, Object> release(String key, String owner, long nowMillis) {
        Lease lease = leases.get(key);
        if (lease == null || lease.expiresMillis() <= nowMillis) {
            return reply("missing", key);
        }
        if (!lease.owner().equals(owner)) {
            Map<String, Object> node = reply("conflict", key);
            node.put("revision", lease.fence());
            return node;
        }
        leases.put(key, new Lease("", lease.fence(), nowMillis));
        return reply("missing", key);
    }

    /** Runs the task when the revision exceeds a number; returns null if it already does. */
    synchronized Waiter await(String key, long afterRevision, Runnable wake) {
        if (revision(key) > afterRevision) {
            return null;
        }
        Waiter waiter = new Waiter(key, afterRevision, wake);
        waiters.add(waiter);
        return waiter;
    }

    synchronized boolean remove(Waiter waiter) {
        return waiters.remove(waiter);
    }

    synchronized int pendingWatches() {
        return waiters.size();
    }

    private static Map<String, Object> reply(String kind, String key) {
        Map<String, Object> node = new LinkedHashMap<>();
        node.put("reply", kind);
        node.put("key", key);
        return node;
    }

    private record Value(long revision, String text) {}

    private record Lease(String owner, long fence, long expiresMillis) {}

    record Waiter(String key, long afterRevision, Runnable wake) {}
}
