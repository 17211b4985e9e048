package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.WorkItem;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What one entry knows about the backend servers that it watches. */
final class BackendTable {
    private final Map<BackendId, BackendState> byId = new HashMap<>();
    private final List<BackendState> all = new ArrayList<>();
    private boolean isPlaced;

    void watch(List<BackendPlace> places) {
        isPlaced = true;
        Set<BackendId> kept = new HashSet<>();
        for (BackendPlace p : places) {
            kept.add(p.backend());
            BackendState s = byId.get(p.backend());
            if (s == null) {
                s = add(p.backend());
            }
            s.place = p;
        }
        all.removeIf(s -> !kept.contains(s.backend));
        byId.keySet().retainAll(kept);
    }

    void status(BackendStatus status, long nowMillis) {
        BackendState s = byId.get(status.backend());
        if (s == null) {
            if (isPlaced) {
                return;
            }
            s = add(status.backend());
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

    int size() {
        return all.size();
    }

    BackendState at(int index) {
        return all.get(index);
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
