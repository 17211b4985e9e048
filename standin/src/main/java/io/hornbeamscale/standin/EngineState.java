package io.hornbeamscale.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A minimal model of continuous batching. Each step emits one token for every running stream. Waiting streams start
 * while memory and slots are available; when memory runs out, the stream that started last is preempted and queued
 * again.
 */
final class EngineState {
    private static final int CACHE_BLOCK_WORDS = 16;
    private static final int MAX_CACHED_PREFIXES = 1_024;
    private static final int MAX_CACHE_EVENTS = 4_096;

    private final long memoryTokens;
    private final int maxRunning;
    private final boolean honoursPriorities;
    private final long retentionMillis;
    private final Map<String, EngineStream> streams = new LinkedHashMap<>();
    private final List<EngineStream> running = new ArrayList<>();
    private final List<EngineStream> waiting = new ArrayList<>();
    private final Set<Long> cachedPrefixes = new LinkedHashSet<>();
    private final List<CacheEvent> cacheEvents = new ArrayList<>();
    private long nextStreamNumber = 1;
    private long nextCacheEventSequence = 1;
    private long preemptions;

    EngineState(long memoryTokens, int maxRunning, boolean honoursPriorities, long retentionMillis) {
        this.memoryTokens = memoryTokens;
        this.maxRunning = maxRunning;
        this.honoursPriorities = honoursPriorities;
        this.retentionMillis = retentionMillis;
    }

    synchronized EngineStream submit(String requestId, String prompt, int maxTokens, int priority, long nowMillis) {
        EngineStream stream = new EngineStream("stream-" + nextStreamNumber++, requestId, prompt, maxTokens, priority);
        streams.put(stream.id, stream);
        waiting.add(stream);
        cachePrefixes(prompt, nowMillis);
        return stream;
    }

    synchronized EngineStream find(String id) {
        return streams.get(id);
    }

    synchronized List<EngineStream> liveStreams() {
        List<EngineStream> live = new ArrayList<>();
        for (EngineStream stream : streams.values()) {
            if (!stream.hasEnded()) {
                live.add(stream);
            }
        }
        return live;
    }

    synchronized boolean cancel(String id, long nowMillis) {
        EngineStream stream = streams.get(id);
        if (stream == null) {
            return false;
        }
        if (!stream.hasEnded()) {
            stream.isCancelled = true;
            end(stream, nowMillis);
        }
        return true;
    }

    /** Discards all streams and cached prefixes, as a process crash does, and returns the listeners to notify. */
    synchronized List<Runnable> crash() {
        List<Runnable> listeners = new ArrayList<>();
        for (EngineStream stream : streams.values()) {
            stream.isAborted = true;
            listeners.addAll(stream.listeners());
        }
        streams.clear();
        running.clear();
        waiting.clear();
        cachedPrefixes.clear();
        return listeners;
    }

    /** Emits one token for every running stream and returns the listeners to notify. */
    synchronized List<Runnable> step(long nowMillis) {
        streams.values().removeIf(s -> s.hasEnded() && nowMillis - s.endedMillis > retentionMillis);
        startWaiting();
        preemptUntilFits();
        List<Runnable> listeners = new ArrayList<>();
        for (EngineStream stream : List.copyOf(running)) {
            if (stream.emitted >= stream.stallAfterTokens) {
                continue;
            }
            stream.emitted++;
            if (stream.emitted >= stream.abortAfterTokens) {
                stream.isAborted = true;
            }
            if (stream.hasEnded()) {
                end(stream, nowMillis);
            }
            listeners.addAll(stream.listeners());
        }
        return listeners;
    }

    synchronized long usedTokens() {
        long sum = 0;
        for (EngineStream stream : running) {
            sum += stream.memoryTokens();
        }
        return sum;
    }

    synchronized int runningCount() {
        return running.size();
    }

    synchronized int waitingCount() {
        return waiting.size();
    }

    synchronized long preemptions() {
        return preemptions;
    }

    synchronized List<CacheEvent> cacheEvents(long afterSequence, long visibleUntilMillis) {
        List<CacheEvent> events = new ArrayList<>();
        for (CacheEvent event : cacheEvents) {
            if (event.sequence() > afterSequence && event.atMillis() <= visibleUntilMillis) {
                events.add(event);
            }
        }
        return events;
    }

    private void end(EngineStream stream, long nowMillis) {
        stream.endedMillis = nowMillis;
        stream.isRunning = false;
        running.remove(stream);
        waiting.remove(stream);
    }

    private void startWaiting() {
        if (honoursPriorities) {
            waiting.sort(Comparator.comparingInt((EngineStream s) -> -s.priority));
        }
        while (!waiting.isEmpty() && running.size() < maxRunning) {
            EngineStream next = waiting.get(0);
            boolean fits = usedTokens() + next.memoryTokens() + running.size() + 1 <= memoryTokens;
            if (!fits && !running.isEmpty()) {
                return;
            }
            waiting.remove(0);
            next.isRunning = true;
            running.add(next);
        }
    }

    private void preemptUntilFits() {
        while (running.size() > 1 && usedTokens() + running.size() > memoryTokens) {
            EngineStream last = running.remove(running.size() - 1);
            last.isRunning = false;
            waiting.add(0, last);
            preemptions++;
        }
    }

    private void cachePrefixes(String prompt, long nowMillis) {
        String[] words = prompt.strip().split("\\s+", -1);
        StringBuilder prefix = new StringBuilder();
        for (int i = 0; i < words.length; i++) {
            prefix.append(words[i]).append(' ');
            if ((i + 1) % CACHE_BLOCK_WORDS == 0) {
                long hash = hash(prefix);
                if (cachedPrefixes.add(hash)) {
                    addCacheEvent("stored", hash, nowMillis);
                }
            }
        }
        while (cachedPrefixes.size() > MAX_CACHED_PREFIXES) {
            long oldest = cachedPrefixes.iterator().next();
            cachedPrefixes.remove(oldest);
            addCacheEvent("evicted", oldest, nowMillis);
        }
    }

    private void addCacheEvent(String kind, long hash, long nowMillis) {
        cacheEvents.add(new CacheEvent(nextCacheEventSequence++, kind, hash, nowMillis));
        if (cacheEvents.size() > MAX_CACHE_EVENTS) {
            cacheEvents.remove(0);
        }
    }

    /** Returns the 64-bit FNV-1a hash over the UTF-16 code units. */
    private static long hash(CharSequence text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    record CacheEvent(long sequence, String kind, long prefixHash, long atMillis) {}
}
