package io.hornbeamscale.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The values, leases and watches of the store stand-in. Thread-safe. */
final class StoreState {
    /** The number of values kept per key, for {@link StandInFault.ReturnOlderValue}. */
    private static final int MAX_HISTORY = 64;

    private final int maxValueBytes;
    private final Map<String, List<Value>> values = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();

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
        List<Watch> ready = new ArrayList<>();
        synchronized (this) {
            long current = revision(key);
            if (current != expected) {
                node = reply("conflict", key);
                node.put("revision", current);
                return node;
            }
            List<Value> history = values.computeIfAbsent(key, k -> new ArrayList<>());
            history.add(new Value(current + 1, text));
            if (history.size() > MAX_HISTORY) {
                history.remove(0);
            }
            node = reply("swapped", key);
            node.put("revision", current + 1);
            watches.removeIf(w -> w.key().equals(key) && w.afterRevision() < current + 1 && ready.add(w));
        }
        ready.forEach(w -> w.callback().run());
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
        long lastFence = lease == null ? 0 : lease.fence();
        long fence = isOwn && !isFree ? lastFence : lastFence + 1;
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

    /** Runs the callback when the revision exceeds the given one; returns null if it already does. */
    synchronized Watch addWatch(String key, long afterRevision, Runnable callback) {
        if (revision(key) > afterRevision) {
            return null;
        }
        Watch watch = new Watch(key, afterRevision, callback);
        watches.add(watch);
        return watch;
    }

    synchronized boolean removeWatch(Watch watch) {
        return watches.remove(watch);
    }

    synchronized int pendingWatches() {
        return watches.size();
    }

    private static Map<String, Object> reply(String kind, String key) {
        Map<String, Object> node = new LinkedHashMap<>();
        node.put("reply", kind);
        node.put("key", key);
        return node;
    }

    private record Value(long revision, String text) {}

    private record Lease(String owner, long fence, long expiresMillis) {}

    record Watch(String key, long afterRevision, Runnable callback) {}
}
