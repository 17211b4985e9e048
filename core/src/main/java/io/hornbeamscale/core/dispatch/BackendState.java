package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.WorkItem;

/** The state of one backend server as known to one entry. */
final class BackendState {
    /** Whether a server receives new work, by its speed. */
    enum Speed {
        /** The server receives new work. */
        NORMAL,
        /** The server is slow and receives no new work. */
        EJECTED,
        /** The server was ejected recently and receives part of the new work. */
        PROBATION
    }

    final BackendId backend;
    final PrefixHistory prefixes = new PrefixHistory();
    /** Null until the watched servers are known. */
    BackendDescriptor descriptor;
    /** Null until the first status arrives. */
    BackendStatus status;

    long statusMillis;
    boolean isDraining;
    boolean isConnected;
    /** The number of reservations of this entry since the last status. */
    int reservationsSinceStatus;
    /** The prompt tokens of these reservations. */
    long promptTokensSinceStatus;

    Speed speed = Speed.NORMAL;
    int slowReports;
    long speedSinceMillis;
    long probationMillis;

    BackendState(BackendId backend) {
        this.backend = backend;
    }

    void update(BackendStatus next, long nowMillis) {
        boolean isRestarted = status != null && status.incarnation() != next.incarnation();
        // Draining is irreversible within an incarnation, so a delayed older status must not revoke it.
        isDraining = next.isDraining() || (isDraining && !isRestarted);
        status = next;
        statusMillis = nowMillis;
        isConnected = true;
        reservationsSinceStatus = 0;
        promptTokensSinceStatus = 0;
    }

    void lost() {
        isConnected = false;
        status = null;
        isDraining = false;
    }

    void reserved(WorkItem work, long nowMillis) {
        reservationsSinceStatus++;
        promptTokensSinceStatus += work.promptTokens();
        prefixes.sent(work.prefixHashes(), nowMillis);
    }

    boolean serves(WorkItem work) {
        return descriptor == null || descriptor.serves(work);
    }

    boolean isUsable() {
        return isConnected && !isDraining;
    }

    double gapMillis() {
        return status == null ? 0 : status.tokenGapMillis();
    }
}
