package io.hornbeamscale.measure.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A cache of prompt prefixes that evicts the least recently used ones. */
final class PrefixCache {
    private final int capacityTokens;
    private final Map<Long, Integer> tokensByHash = new LinkedHashMap<>(16, 0.75f, true);
    private int usedTokens;

    PrefixCache(int capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Returns the number of prompt tokens that are cached. */
    int cachedTokens(EngineJob job) {
        for (int i = job.prefixHashes.size() - 1; i >= 0; i--) {
            if (tokensByHash.get(job.prefixHashes.get(i)) != null) {
                return job.prefixTokens * (i + 1) / job.prefixHashes.size();
            }
        }
        return 0;
    }

    /** Adds the prefixes of a prompt and returns the evicted hashes, never null. */
    List<Long> add(EngineJob job) {
        int prefixTokens = job.prefixHashes.isEmpty() ? 0 : job.prefixTokens / job.prefixHashes.size();
        for (long hash : job.prefixHashes) {
            if (tokensByHash.put(hash, prefixTokens) == null) {
                usedTokens += prefixTokens;
            }
        }
        List<Long> evicted = new ArrayList<>();
        var it = tokensByHash.entrySet().iterator();
        while (usedTokens > capacityTokens && it.hasNext()) {
            Map.Entry<Long, Integer> oldest = it.next();
            usedTokens -= oldest.getValue();
            evicted.add(oldest.getKey());
            it.remove();
        }
        return evicted;
    }
}
