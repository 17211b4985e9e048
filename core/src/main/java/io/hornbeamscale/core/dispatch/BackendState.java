package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.WorkItem;

/** What one entry knows about one backend server. */
final class BackendState {
    /** Whether a server takes new work, judged by its speed. */
    enum Speed {
        NORMAL,
        EJECTED,
        PROBATION
    }

    final BackendId backend;
    final PrefixHistory prefixes = new PrefixHistory();
    /** Null until the watched servers are named. */
    BackendDescriptor descriptor;
    /** Null until the first status arrives. */
    BackendStatus status;

    long statusMillis;
    boolean isDraining;
    boolean isConnected;
    /** Reservations and attempts of this entry that the last status does not contain yet. */
    int reservationsSinceStatus;
    /** Prompt tokens of these reservations. */
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
        // Leaving is irreversible within an incarnation, so an older status cannot undo it.
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
