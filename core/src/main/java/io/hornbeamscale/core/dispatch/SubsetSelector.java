package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.limit.HashRanks;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Selects the subset of backend servers that an entry watches. Entries and servers are ordered by hash, and the entry
 * at position i of n watches consecutive servers (a range that wraps around) from position i/n on. The numbers of
 * entries that watch each server thus differ by about one, and the loss of an entry moves each range by less than the
 * distance between two entries.
 */
public final class SubsetSelector {
    private final int ownRegionSize;
    private final int otherRegionSize;

    /**
     * Creates a selector.
     *
     * @param ownRegionSize the number of servers to watch in the entry's region, per service and model, greater than 0
     * @param otherRegionSize the number of servers to watch in each other region, per service and model, not negative
     */
    public SubsetSelector(int ownRegionSize, int otherRegionSize) {
        this.ownRegionSize = (int) Arguments.positive(ownRegionSize, "ownRegionSize");
        this.otherRegionSize = (int) Arguments.notNegative(otherRegionSize, "otherRegionSize");
    }

    /**
     * Selects servers.
     *
     * @param self the entry, not null
     * @param region the region of the entry, not null
     * @param entries the live entries of the region, with or without this one, not null
     * @param servers all servers, not null
     * @return the servers to watch, never null
     */
    public List<BackendDescriptor> select(
            NodeId self, RegionId region, Collection<NodeId> entries, Collection<BackendDescriptor> servers) {
        long own = HashRanks.rank(self.value(), "subset");
        int position = 0;
        int count = 1;
        for (NodeId e : entries) {
            if (e.equals(self)) {
                continue;
            }
            count++;
            long rank = HashRanks.rank(e.value(), "subset");
            position += rank < own || (rank == own && e.value().compareTo(self.value()) < 0) ? 1 : 0;
        }
        double start = (double) position / count;
        List<BackendDescriptor> selected = new ArrayList<>();
        for (List<BackendDescriptor> group : groups(servers).values()) {
            int size = group.get(0).region().equals(region) ? ownRegionSize : otherRegionSize;
            addRange(group, start, size, selected);
        }
        return selected;
    }

    private static Map<String, List<BackendDescriptor>> groups(Collection<BackendDescriptor> servers) {
        Map<String, List<BackendDescriptor>> groups = new TreeMap<>();
        for (BackendDescriptor d : servers) {
            String key =
                    d.service().value() + "/" + d.model() + "/" + d.region().value();
            groups.computeIfAbsent(key, k -> new ArrayList<>()).add(d);
        }
        Comparator<BackendDescriptor> byRank =
                Comparator.comparingLong(d -> HashRanks.rank(d.backend().value(), "subset"));
        groups.values()
                .forEach(g -> g.sort(byRank.thenComparing(d -> d.backend().value())));
        return groups;
    }

    private static void addRange(
            List<BackendDescriptor> group, double start, int size, List<BackendDescriptor> selected) {
        int first = (int) (start * group.size());
        for (int i = 0; i < Math.min(size, group.size()); i++) {
            selected.add(group.get((first + i) % group.size()));
        }
    }
}
