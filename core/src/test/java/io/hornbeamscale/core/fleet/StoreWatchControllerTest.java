package io.hornbeamscale.core.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against calls to the store that grow with the fleet, and against entries that nobody tells of changes. */
class StoreWatchControllerTest {
    private static final long STATUS_INTERVAL_MILLIS = 500;
    private static final long SETTLE_MILLIS = 10_000;

    private final Map<String, StoreWatchController> entries = new HashMap<>();
    private final Set<String> silent = new HashSet<>();
    private final Set<String> refusedByStore = new HashSet<>();
    private long now;

    private void start(int count) {
        for (int i = 0; i < count; i++) {
            String name = "edge-" + i;
            entries.put(name, new StoreWatchController(name));
        }
    }

    /** Lets every entry send its status to every other one until the set of watches has settled. */
    private void run(long millis) {
        for (long end = now + millis; now < end; now += STATUS_INTERVAL_MILLIS) {
            for (Map.Entry<String, StoreWatchController> sender : entries.entrySet()) {
                if (silent.contains(sender.getKey())) {
                    continue;
                }
                boolean works = sender.getValue().isWatching(now) && !refusedByStore.contains(sender.getKey());
                entries.forEach((name, receiver) -> {
                    if (!name.equals(sender.getKey())) {
                        receiver.statusReceived(sender.getKey(), works, now);
                    }
                });
            }
        }
    }

    private Set<String> working() {
        Set<String> names = new HashSet<>();
        entries.forEach((name, entry) -> {
            if (entry.isWatching(now) && !silent.contains(name) && !refusedByStore.contains(name)) {
                names.add(name);
            }
        });
        return names;
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 33, 100, 360})
    void fewEntriesWatchHoweverLargeTheFleetIs(int count) {
        start(count);
        run(SETTLE_MILLIS);
        assertEquals(StoreWatchController.WATCHERS, working().size());
    }

    @Nested
    class Loss {
        @Test
        void ofEveryWatchingEntryLetsOthersWatch() {
            start(33);
            run(SETTLE_MILLIS);
            silent.addAll(working());
            run(StoreWatchController.STATUS_TTL_MILLIS + 2 * STATUS_INTERVAL_MILLIS);
            assertTrue(working().size() >= StoreWatchController.MIN_WATCHERS);
            run(SETTLE_MILLIS);
            assertTrue(working().size() >= StoreWatchController.MIN_WATCHERS);
            assertTrue(working().size() <= StoreWatchController.WATCHERS);
        }

        /** The store may refuse some entries and serve the others. */
        @Test
        void ofTheStoreByEveryWatchingEntryLetsOthersWatch() {
            start(33);
            run(SETTLE_MILLIS);
            refusedByStore.addAll(working());
            run(2 * STATUS_INTERVAL_MILLIS);
            assertTrue(working().size() >= StoreWatchController.MIN_WATCHERS);
        }

        @Test
        void ofAllOtherEntriesLetsAnEntryWatch() {
            start(33);
            run(SETTLE_MILLIS);
            String alone = entries.keySet().stream()
                    .filter(name -> !working().contains(name))
                    .findFirst()
                    .orElseThrow();
            assertFalse(entries.get(alone).isWatching(now));
            assertTrue(entries.get(alone).isWatching(now + StoreWatchController.STATUS_TTL_MILLIS + 1));
        }

        /** While the store is down, every entry has to notice its return. */
        @Test
        void ofTheStoreLetsEveryEntryWatch() {
            start(33);
            run(SETTLE_MILLIS);
            refusedByStore.addAll(entries.keySet());
            run(2 * STATUS_INTERVAL_MILLIS);
            assertTrue(entries.values().stream().allMatch(entry -> entry.isWatching(now)));
        }
    }
}
