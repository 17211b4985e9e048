package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.WorkItem;

/** The state of a backend server as known to one entry. */
final class BackendState {
    /** How much new work a server receives, depending on its speed. */
    enum Speed {
        /** The server is not slow and receives new work without restriction. */
        NORMAL,
        /** The server is slow and receives no new work. */
        EJECTED,
        /** The server was ejected recently and receives part of the new work. */
        PROBATION
    }

    final BackendId backend;
    final PrefixHistory prefixes = new PrefixHistory();
    /** Null if the server is known only from its status, before the entry has the list of servers that it watches. */
    BackendDescriptor descriptor;
    /** Null until the first status arrives, and while the connection to the server's agent is lost. */
    BackendStatus status;

    long statusMillis;
    boolean isDraining;
    boolean isConnected;
    /** The number of reservations that this entry has sent to the server since the last status. */
    int reservationsSinceStatus;
    /** The sum of the prompt tokens of the reservations that this entry has sent since the last status. */
    long promptTokensSinceStatus;

    Speed speed = Speed.NORMAL;
    /** The number of consecutive speed checks at which the server was slow. */
    int slowReports;
    /** The time of the last change of speed or, for an ejected server, of the last check at which it was slow. */
    long speedSinceMillis;
    /** The duration of the current or next probation, 0 if the server has never been ejected. */
    long probationMillis;

    BackendState(BackendId backend) {
        this.backend = backend;
    }

    void update(BackendStatus next, long nowMillis) {
        boolean isRestarted = status != null && status.incarnation() != next.incarnation();
        // Draining ends only when the agent restarts, with a new incarnation number; an older status that arrives late
        // must not end it.
        isDraining = next.isDraining() || (isDraining && !isRestarted);
        status = next;
        statusMillis = nowMillis;
        isConnected = true;
        reservationsSinceStatus = 0;
        promptTokensSinceStatus = 0;
    }

    /** Handles the loss of the connection to the server's agent. */
    void lost() {
        isConnected = false;
        status = null;
        isDraining = false;
    }

    /** Handles a reservation that this entry sends to the server. */
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

    /** Returns the recent mean time between two tokens in milliseconds, 0 if unknown or if no request runs. */
    double gapMillis() {
        return status == null ? 0 : status.tokenGapMillis();
    }
}
