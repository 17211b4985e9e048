package io.hornbeamscale.core.membership;

import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Chooses which backend servers an entry watches. Every backend server is watched by the same number of entries, and no
 * entry watches many more than the others. Entries with the same lists agree without talking to each other, and the
 * loss of an entry moves little more than what it watched.
 */
public final class SubsetSelector {
    /** An entry may watch this much more than the mean; a tighter bound moves more backend servers on a loss. */
    private static final double MAX_LOAD = 1.25;

    private SubsetSelector() {}

    /**
     * Chooses the backend servers of one entry.
     *
     * @param entries names of all live entries, with the own name, not null
     * @param self the own name, not null
     * @param backends names of all backend servers, not null
     * @param perBackend how many entries watch each backend server, greater than 0
     * @return names of the backend servers to watch, in order; all of them if there are too few entries to share
     */
    public static List<String> choose(
            Collection<String> entries, String self, Collection<String> backends, int perBackend) {
        Arguments.notNull(entries, "entries");
        Arguments.notNull(self, "self");
        Arguments.notNull(backends, "backends");
        Arguments.positive(perBackend, "perBackend");
        if (entries.size() <= perBackend) {
            return List.copyOf(new TreeSet<>(backends));
        }
        int max = (int) Math.ceil(MAX_LOAD * backends.size() * perBackend / entries.size());
        Map<String, Integer> loads = new HashMap<>();
        List<String> chosen = new ArrayList<>();
        for (String backend : new TreeSet<>(backends)) {
            List<String> watchers = watchers(entries, backend, perBackend, max, loads);
            watchers.forEach(entry -> loads.merge(entry, 1, Integer::sum));
            if (watchers.contains(self)) {
                chosen.add(backend);
            }
        }
        return chosen;
    }

    private static List<String> watchers(
            Collection<String> entries, String backend, int count, int max, Map<String, Integer> loads) {
        List<String> watchers = new ArrayList<>();
        for (String entry : RendezvousHash.top(entries, e -> e, "subset/" + backend, entries.size())) {
            if (watchers.size() == count) {
                break;
            }
            if (loads.getOrDefault(entry, 0) < max) {
                watchers.add(entry);
            }
        }
        return watchers;
    }
}
