package io.hornbeamscale.core.admission;

import io.hornbeamscale.core.util.Arguments;

/** A sum whose parts lose half of their value in each half-life. Not safe for use by several threads. */
final class DecayedSum {
    private final long halfLifeMillis;
    private double value;
    private long updatedAtMillis;

    DecayedSum(long halfLifeMillis) {
        this.halfLifeMillis = Arguments.positive(halfLifeMillis, "halfLifeMillis");
    }

    /** Adds an amount, which may be negative. The sum does not become negative. */
    void add(double amount, long nowMillis) {
        value = Math.max(0, value(nowMillis) + amount);
        updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
    }

    /** Returns the present value; a time before the last addition counts as that of the addition. */
    double value(long nowMillis) {
        long age = Math.max(0, nowMillis - updatedAtMillis);
        return age == 0 || value == 0 ? value : value * Math.pow(0.5, (double) age / halfLifeMillis);
    }
}
