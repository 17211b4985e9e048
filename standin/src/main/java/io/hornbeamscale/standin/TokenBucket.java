package io.hornbeamscale.standin;

import java.util.concurrent.TimeUnit;

/** A token bucket on the system clock; a rate of 0 means no limit. Thread-safe. */
final class TokenBucket {
    private final double ratePerSecond;
    private final double burst;
    private double tokens;
    private long refilledNanos = System.nanoTime();

    /** Creates a limit whose burst is the number of tokens per second. */
    TokenBucket(double ratePerSecond) {
        this(ratePerSecond, ratePerSecond);
    }

    TokenBucket(double ratePerSecond, double burst) {
        this.ratePerSecond = ratePerSecond;
        this.burst = Math.max(1, burst);
        this.tokens = this.burst;
    }

    synchronized boolean tryAcquire() {
        if (ratePerSecond <= 0) {
            return true;
        }
        long now = System.nanoTime();
        double seconds = (now - refilledNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        tokens = Math.min(burst, tokens + seconds * ratePerSecond);
        refilledNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
