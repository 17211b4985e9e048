package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.estimate.LengthDistribution;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.work.Reservation;

/** An attempt that has a grant or runs. */
final class AdmittedAttempt {
    final Reservation reservation;
    final GrantId grant;
    final long grantExpiresMillis;
    final LengthDistribution lengths;
    final int promptTokens;
    final int maxTokens;
    /** The tokens held in the customer's counter until the attempt ends. */
    final double heldTokens;

    int emitted;
    long lastTokenMillis;
    boolean isStarted;
    boolean isLong;

    AdmittedAttempt(QueuedReservation queued, GrantId grant, long grantExpiresMillis, double heldTokens) {
        this.reservation = queued.reservation;
        this.grant = grant;
        this.grantExpiresMillis = grantExpiresMillis;
        this.lengths = queued.lengths;
        this.promptTokens = reservation.work().promptTokens();
        this.maxTokens = reservation.work().maxTokens();
        this.heldTokens = heldTokens;
        this.isLong = queued.isLong;
    }

    int tokens() {
        return promptTokens + emitted;
    }
}
