package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.estimate.LengthDistribution;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.work.Reservation;

/** A granted or running attempt. */
final class HeldWork {
    final Reservation reservation;
    final GrantId grant;
    final long expiresMillis;
    final LengthDistribution curve;
    final int promptTokens;
    final int maxTokens;
    /** Tokens by which the customer's counter is raised while this runs. */
    final double charged;

    int emitted;
    long lastTokenMillis;
    boolean isStarted;
    boolean isLong;

    HeldWork(QueuedWork queued, GrantId grant, long expiresMillis, double charged) {
        this.reservation = queued.reservation;
        this.grant = grant;
        this.expiresMillis = expiresMillis;
        this.curve = queued.curve;
        this.promptTokens = reservation.work().promptTokens();
        this.maxTokens = reservation.work().maxTokens();
        this.charged = charged;
        this.isLong = queued.isLong;
    }

    int tokens() {
        return promptTokens + emitted;
    }
}
