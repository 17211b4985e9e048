package io.hornbeamscale.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.id.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against uneven subsets, and against large changes when an entry fails, with 360 entries and 600 servers. */
class SubsetSelectorTest {
    private static final int ENTRIES = 360;
    private static final int SERVERS = 600;
    private static final int SIZE = 24;
    private static final RegionId REGION = new RegionId("r");

    private final SubsetSelector selector = new SubsetSelector(SIZE, 2);
    private final List<NodeId> entries = new ArrayList<>();
    private final List<BackendDescriptor> servers = new ArrayList<>();

    SubsetSelectorTest() {
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new NodeId("entry-" + i));
        }
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new BackendDescriptor(
                    new BackendId("runner-" + i), new ServiceId("s"), "m", new ZoneId("z" + i % 8), REGION));
        }
    }

    private Map<NodeId, Set<BackendDescriptor>> select(List<NodeId> live) {
        Map<NodeId, Set<BackendDescriptor>> all = new HashMap<>();
        live.forEach(e -> all.put(e, new HashSet<>(selector.select(e, REGION, live, servers))));
        return all;
    }

    /** The number of entries that watch a server differs by at most two from the mean of 14.4. */
    @Test
    void serversAreWatchedEvenly() {
        Map<BackendDescriptor, Integer> watchers = new HashMap<>();
        select(entries).values().forEach(s -> s.forEach(p -> watchers.merge(p, 1, Integer::sum)));
        double mean = (double) ENTRIES * SIZE / SERVERS;
        for (BackendDescriptor p : servers) {
            double count = watchers.getOrDefault(p, 0);
            assertTrue(Math.abs(count - mean) <= 2, p + " has " + count);
        }
    }

    /** The loss of one entry replaces at most two of the 24 servers of any other entry. */
    @Test
    void lossOfAnEntryChangesSubsetsLittle() {
        Map<NodeId, Set<BackendDescriptor>> before = select(entries);
        for (int lost = 0; lost < ENTRIES; lost += 60) {
            List<NodeId> live = new ArrayList<>(entries);
            live.remove(lost);
            Map<NodeId, Set<BackendDescriptor>> after = select(live);
            for (NodeId e : live) {
                Set<BackendDescriptor> added = new HashSet<>(after.get(e));
                added.removeAll(before.get(e));
                assertTrue(added.size() <= 2, e + " adds " + added.size());
            }
        }
    }
}
