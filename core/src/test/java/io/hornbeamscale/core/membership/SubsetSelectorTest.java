package io.hornbeamscale.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against backend servers that too few entries watch, and against a loss of one entry that moves everything. */
class SubsetSelectorTest {
    private static final int PER_BACKEND = 12;

    private final List<String> entries = names("entry-", 60);
    private final List<String> backends = names("runner-", 100);

    @Test
    void everyBackendServerHasTheSameNumberOfWatchersAndNoEntryHasFarMoreThanTheMean() {
        Map<String, Integer> watchers = new HashMap<>();
        int max = 0;
        for (List<String> subset : subsets(entries).values()) {
            max = Math.max(max, subset.size());
            subset.forEach(backend -> watchers.merge(backend, 1, Integer::sum));
        }
        assertEquals(Set.of(PER_BACKEND), new HashSet<>(watchers.values()));
        assertEquals(backends.size(), watchers.size());
        // The mean is 20.
        assertTrue(max <= 25, "max " + max);
    }

    @Test
    void theLossOfAnEntryMovesLittleMoreThanItWatched() {
        Map<String, List<String>> before = subsets(entries);
        List<String> fewer = new ArrayList<>(entries);
        String lost = fewer.remove(7);
        Map<String, List<String>> after = subsets(fewer);
        int added = 0;
        for (String entry : fewer) {
            Set<String> gained = new HashSet<>(after.get(entry));
            before.get(entry).forEach(gained::remove);
            added += gained.size();
        }
        assertTrue(added <= 4 * before.get(lost).size(), "added " + added);
    }

    @Test
    void fewEntriesWatchEverything() {
        assertEquals(
                backends.size(),
                SubsetSelector.choose(List.of("a", "b"), "a", backends, PER_BACKEND)
                        .size());
    }

    private Map<String, List<String>> subsets(List<String> live) {
        Map<String, List<String>> subsets = new HashMap<>();
        for (String entry : live) {
            subsets.put(entry, SubsetSelector.choose(live, entry, backends, PER_BACKEND));
        }
        return subsets;
    }

    private static List<String> names(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(i -> prefix + i).toList();
    }
}
