package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.WorkItem;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The states of the backend servers that one entry watches. */
final class BackendTable {
    private final Map<BackendId, BackendState> byId = new HashMap<>();
    private final List<BackendState> all = new ArrayList<>();
    private final List<BackendState> inOwnRegion = new ArrayList<>();
    private final List<BackendState> inOtherRegions = new ArrayList<>();
    private final RegionId region;
    private boolean isWatchSet;

    BackendTable(RegionId region) {
        this.region = region;
    }

    void watch(List<BackendDescriptor> descriptors) {
        isWatchSet = true;
        Set<BackendId> kept = new HashSet<>();
        for (BackendDescriptor d : descriptors) {
            kept.add(d.backend());
            BackendState s = byId.get(d.backend());
            if (s == null) {
                s = add(d.backend());
            }
            s.descriptor = d;
        }
        all.removeIf(s -> s.descriptor == null || !kept.contains(s.backend));
        byId.keySet().retainAll(kept);
        inOwnRegion.clear();
        inOtherRegions.clear();
        for (BackendState s : all) {
            (s.descriptor.region().equals(region) ? inOwnRegion : inOtherRegions).add(s);
        }
    }

    void status(BackendStatus status, long nowMillis) {
        BackendState s = byId.get(status.backend());
        if (s == null) {
            if (isWatchSet) {
                return;
            }
            s = add(status.backend());
            inOwnRegion.add(s);
        }
        s.update(status, nowMillis);
    }

    private BackendState add(BackendId backend) {
        BackendState s = new BackendState(backend);
        byId.put(backend, s);
        all.add(s);
        return s;
    }

    BackendState get(BackendId backend) {
        return byId.get(backend);
    }

    /** Returns the servers of the entry's own region, never null. */
    List<BackendState> inOwnRegion() {
        return inOwnRegion;
    }

    /** Returns the servers of other regions, never null. */
    List<BackendState> inOtherRegions() {
        return inOtherRegions;
    }

    List<BackendState> all() {
        return all;
    }

    boolean isServed(WorkItem work) {
        for (BackendState s : all) {
            if (s.serves(work) && s.isConnected) {
                return true;
            }
        }
        return false;
    }
}
