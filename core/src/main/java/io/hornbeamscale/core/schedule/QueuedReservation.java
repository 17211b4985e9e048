package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.estimate.LengthDistribution;
import io.hornbeamscale.core.work.Reservation;

/** A waiting reservation with its expected output. */
final class QueuedReservation {
    final Reservation reservation;
    final LengthDistribution lengths;
    final double expectedTokens;
    final boolean isLong;
    /** Work with a smaller key goes first within its lane and customer. */
    final double sortKey;

    final long order;

    QueuedReservation(
            Reservation reservation,
            LengthDistribution lengths,
            double expectedTokens,
            boolean isLong,
            double sortKey,
            long order) {
        this.reservation = reservation;
        this.lengths = lengths;
        this.expectedTokens = expectedTokens;
        this.isLong = isLong;
        this.sortKey = sortKey;
        this.order = order;
    }

    double tokens() {
        return reservation.work().promptTokens() + expectedTokens;
    }
}
