package io.hornbeamscale.standin;

import java.util.concurrent.TimeUnit;

/** A rate limit with a burst. Safe for use by several threads. */
final class TokenBucket {
    private final double perSecond;
    private final double burst;
    private double tokens;
    private long filledNanos = System.nanoTime();

    /** Creates a limit with a burst of one second. */
    TokenBucket(double perSecond) {
        this(perSecond, perSecond);
    }

    TokenBucket(double perSecond, double burst) {
        this.perSecond = perSecond;
        this.burst = Math.max(1, burst);
        this.tokens = this.burst;
    }

    synchronized boolean tryTake() {
        if (perSecond <= 0) {
            return true;
        }
        long now = System.nanoTime();
        double seconds = (now - filledNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        tokens = Math.min(burst, tokens + seconds * perSecond);
        filledNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
