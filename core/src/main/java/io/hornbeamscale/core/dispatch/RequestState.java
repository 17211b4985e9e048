package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.work.WorkItem;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The mutable state of one request at its entry. */
final class RequestState {
    final WorkItem work;
    /** Attempts that were handed over and have neither ended nor failed. */
    final Map<AttemptId, HandedOver> running = new LinkedHashMap<>();
    /** Backend servers with a reservation of the reserving attempt. */
    final Set<BackendId> reserved = new LinkedHashSet<>();
    /** Backend servers that failed or refused this request. They are chosen again only if no other server is left. */
    final Set<BackendId> avoided = new LinkedHashSet<>();
    /** The attempt that waits for a grant, null if there is none. */
    AttemptId reserving;

    int handOvers;
    int lastAttemptNumber;
    long waitingSinceMillis;
    long deadlineMillis;
    long retryAtMillis;
    long recheckAtMillis;
    int refusals;
    long retryAfterMillis;
    boolean isDelivering;
    boolean isHedged;

    RequestState(WorkItem work, long nowMillis) {
        this.work = work;
        this.deadlineMillis = work.deadlineMillis();
        this.waitingSinceMillis = nowMillis;
    }

    /** Creates the next reserving attempt. */
    void nextAttempt() {
        lastAttemptNumber++;
        reserving = new AttemptId(work.request(), lastAttemptNumber);
        reserved.clear();
    }

    List<BackendId> takeReserved() {
        List<BackendId> all = new ArrayList<>(reserved);
        reserved.clear();
        return all;
    }

    boolean runsAt(BackendId backend) {
        for (HandedOver h : running.values()) {
            if (h.backend.equals(backend)) {
                return true;
            }
        }
        return false;
    }

    /** An attempt that was handed over. */
    static final class HandedOver {
        final BackendId backend;
        final long startedMillis;

        HandedOver(BackendId backend, long startedMillis) {
            this.backend = backend;
            this.startedMillis = startedMillis;
        }
    }
}
