package io.hornbeamscale.measure.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Prefixes in memory; the least recently used ones leave first. */
final class PrefixCache {
    private final int capacityTokens;
    private final Map<Long, Integer> tokens = new LinkedHashMap<>(16, 0.75f, true);
    private int used;

    PrefixCache(int capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Returns the number of prompt tokens that need not be computed. */
    int hit(EngineJob job) {
        for (int i = job.prefixHashes.size() - 1; i >= 0; i--) {
            if (tokens.get(job.prefixHashes.get(i)) != null) {
                return job.prefixTokens * (i + 1) / job.prefixHashes.size();
            }
        }
        return 0;
    }

    /** Adds the prefixes of a prompt and returns the hashes that had to leave, never null. */
    List<Long> add(EngineJob job) {
        int part = job.prefixHashes.isEmpty() ? 0 : job.prefixTokens / job.prefixHashes.size();
        for (long hash : job.prefixHashes) {
            if (tokens.put(hash, part) == null) {
                used += part;
            }
        }
        List<Long> left = new ArrayList<>();
        var it = tokens.entrySet().iterator();
        while (used > capacityTokens && it.hasNext()) {
            Map.Entry<Long, Integer> oldest = it.next();
            used -= oldest.getValue();
            left.add(oldest.getKey());
            it.remove();
        }
        return left;
    }
}
