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

/**
 * The mutable state of a request at the entry that received it. An attempt first reserves capacity at several backend
 * servers, and is handed over to the server that grants its reservation first.
 */
final class RequestState {
    final WorkItem work;
    /** Attempts that were handed over and have neither ended nor failed. */
    final Map<AttemptId, HandedOver> running = new LinkedHashMap<>();
    /** Backend servers that have neither granted nor refused the reservation of {@link #reserving} yet. */
    final Set<BackendId> reserved = new LinkedHashSet<>();
    /**
     * Backend servers that failed or refused this request. They are chosen again only after a retry delay during which
     * no reservation is pending.
     */
    final Set<BackendId> avoided = new LinkedHashSet<>();
    /** The attempt that reserves capacity and waits for a grant, null if there is none. */
    AttemptId reserving;

    /** The number of attempts that were handed over. */
    int handOvers;

    int lastAttemptNumber;
    long waitingSinceMillis;
    /** The time until which the request waits for a grant; may exceed the caller's deadline for a repeated attempt. */
    long deadlineMillis;
    /** When to reserve again if no reservation is pending. */
    long retryAtMillis;
    /** When to look for a server with a lower cost while reservations are pending. */
    long recheckAtMillis;
    /** The number of reservations that were refused because the server is overloaded. */
    int refusals;
    /** The longest retry delay that an overloaded server has suggested. */
    long retryAfterMillis;
    /** Whether a running attempt has emitted tokens. */
    boolean isDelivering;
    /** Whether a second attempt was started because the first one had emitted no token for unusually long. */
    boolean isHedged;

    RequestState(WorkItem work, long nowMillis) {
        this.work = work;
        this.deadlineMillis = work.deadlineMillis();
        this.waitingSinceMillis = nowMillis;
    }

    /** Creates the next attempt, which has no reservation yet. */
    void nextAttempt() {
        lastAttemptNumber++;
        reserving = new AttemptId(work.request(), lastAttemptNumber);
        reserved.clear();
    }

    /** Removes all pending reservations and returns their backend servers. */
    List<BackendId> takeReserved() {
        List<BackendId> all = new ArrayList<>(reserved);
        reserved.clear();
        return all;
    }

    boolean runsAt(BackendId backend) {
        for (HandedOver attempt : running.values()) {
            if (attempt.backend.equals(backend)) {
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
