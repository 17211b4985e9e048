package io.hornbeamscale.core.limit;

import io.hornbeamscale.core.util.Arguments;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The other entries among which budgets and rates are divided. An entry whose registration is removed still counts for
 * some time, because registrations also expire while the store is unavailable: if every entry then took itself for the
 * only one, their shares would add up to a multiple of the whole. Not safe for use by several threads.
 */
public final class EntryRoster {
    /** How long an entry counts after its registration was removed, in milliseconds. */
    static final long RETENTION_MILLIS = 60_000;

    private final Map<String, Long> lastSeenMillis = new HashMap<>();

    /**
     * Records which other entries are registered.
     *
     * @param registered the names of the registered entries, not null
     * @param nowMillis the present time
     * @return the names of all entries that count, never null
     */
    public Set<String> update(Collection<String> registered, long nowMillis) {
        Arguments.notNull(registered, "registered");
        registered.forEach(name -> lastSeenMillis.put(name, nowMillis));
        lastSeenMillis.values().removeIf(seen -> nowMillis - seen > RETENTION_MILLIS);
        return Set.copyOf(lastSeenMillis.keySet());
    }
}
