package io.hornbeamscale.core.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The prefixes that this entry has recently sent to one backend server. */
final class PrefixHistory {
    private static final int MAX_PREFIXES = 256;
    /**
     * The time after which a prefix has probably been evicted from the cache, unless the server reports it as cached.
     */
    private static final long CACHE_TTL_MILLIS = 60_000;

    private final Map<Long, Long> sentMillis = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    void sent(List<Long> hashes, long nowMillis) {
        hashes.forEach(h -> sentMillis.put(h, nowMillis));
    }

    /** Returns the share of the prompt's prefixes that the server probably caches, from 0 to 1. */
    double match(List<Long> hashes, Set<Long> reported, long nowMillis) {
        for (int i = hashes.size() - 1; i >= 0; i--) {
            Long hash = hashes.get(i);
            Long sent = sentMillis.get(hash);
            if (reported.contains(hash) || (sent != null && nowMillis - sent < CACHE_TTL_MILLIS)) {
                return (i + 1.0) / hashes.size();
            }
        }
        return 0;
    }
}
