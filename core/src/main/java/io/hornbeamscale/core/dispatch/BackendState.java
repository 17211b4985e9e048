package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.WorkItem;

/** What one entry knows about one backend server. */
final class BackendState {
    final BackendId backend;
    /** Null until the watched servers are named. */
    BackendPlace place;
    /** Null until the first status arrives. */
    BackendStatus status;

    long statusMillis;
    long pausedUntilMillis;
    boolean isDraining;
    boolean isConnected;
    /** Reservations and attempts of this entry that the last status does not contain yet. */
    int sinceStatus;

    BackendState(BackendId backend) {
        this.backend = backend;
    }

    void update(BackendStatus next, long nowMillis) {
        boolean isRestarted = status != null && status.incarnation() != next.incarnation();
        // Leaving is irreversible within an incarnation, so an older status cannot undo it.
        isDraining = next.isDraining() || (isDraining && !isRestarted);
        status = next;
        statusMillis = nowMillis;
        isConnected = true;
        sinceStatus = 0;
    }

    void lost() {
        isConnected = false;
        status = null;
        isDraining = false;
    }

    boolean serves(WorkItem work) {
        return place == null || place.serves(work);
    }

    boolean isUsable(long nowMillis) {
        return isConnected && !isDraining && nowMillis >= pausedUntilMillis;
    }
}
