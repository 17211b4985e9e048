package io.hornbeamscale.core.schedule;

import java.util.LinkedHashSet;
import java.util.Set;

/** The prefixes that the engine likely holds, from late and incomplete events; the oldest are forgotten first. */
final class CachedPrefixes {
    /** Keeps a status frame small enough for several per second. */
    private static final int MAX_PREFIXES = 64;

    private final LinkedHashSet<Long> hashes = new LinkedHashSet<>();

    void change(long hash, boolean isCached) {
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
