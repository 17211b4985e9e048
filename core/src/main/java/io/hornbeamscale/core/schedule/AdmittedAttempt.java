package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.estimate.LengthDistribution;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.work.Reservation;

/** A granted or running attempt. */
final class AdmittedAttempt {
    final Reservation reservation;
    final GrantId grant;
    final long grantExpiresMillis;
    final LengthDistribution lengths;
    final int promptTokens;
    final int maxTokens;
    /** Tokens by which the customer's counter is raised while this runs. */
    final double heldTokens;

    int emitted;
    long lastTokenMillis;
    boolean isStarted;
    boolean isLong;

    AdmittedAttempt(QueuedReservation queued, GrantId grant, long expiresMillis, double charged) {
        this.reservation = queued.reservation;
        this.grant = grant;
        this.grantExpiresMillis = expiresMillis;
        this.lengths = queued.lengths;
        this.promptTokens = reservation.work().promptTokens();
        this.maxTokens = reservation.work().maxTokens();
        this.heldTokens = charged;
        this.isLong = queued.isLong;
    }

    int tokens() {
        return promptTokens + emitted;
    }
}
