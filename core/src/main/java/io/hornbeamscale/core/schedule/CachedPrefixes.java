package io.hornbeamscale.core.schedule;

import java.util.LinkedHashSet;
import java.util.Set;

/** The prefixes that the engine probably caches, by late and incomplete events. The oldest are dropped first. */
final class CachedPrefixes {
    /** The maximum number of prefixes, which keeps a status frame small enough to send several per second. */
    private static final int MAX_PREFIXES = 64;

    private final LinkedHashSet<Long> hashes = new LinkedHashSet<>();

    void update(long hash, boolean isCached) {
        hashes.remove(hash);
        if (!isCached) {
            return;
        }
        hashes.add(hash);
        if (hashes.size() > MAX_PREFIXES) {
            hashes.remove(hashes.iterator().next());
        }
    }

    Set<Long> hashes() {
        return Set.copyOf(hashes);
    }
}
