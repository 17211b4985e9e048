package io.hornbeamscale.standin;

import java.util.concurrent.TimeUnit;

/** A rate limit with a burst of one second. Safe for use by several threads. */
final class TokenBucket {
    private final double perSecond;
    private double tokens;
    private long filledNanos = System.nanoTime();

    TokenBucket(double perSecond) {
        this.perSecond = perSecond;
        this.tokens = Math.max(1, perSecond);
    }

    synchronized boolean tryTake() {
        if (perSecond <= 0) {
            return true;
        }
        long now = System.nanoTime();
        double seconds = (now - filledNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        tokens = Math.min(Math.max(1, perSecond), tokens + seconds * perSecond);
        filledNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
