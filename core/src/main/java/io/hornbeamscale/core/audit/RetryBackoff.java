package io.hornbeamscale.core.audit;

import java.util.random.RandomGenerator;

/** Computes the delays between repeated store calls: exponential backoff with jitter, until a deadline. */
final class RetryBackoff {
    static final long BUDGET_MILLIS = 10_000;
    private static final long FIRST_DELAY_MILLIS = 50;
    private static final long MAX_DELAY_MILLIS = 2_000;

    private final RandomGenerator random;
    private long deadlineMillis;
    private long delayMillis = FIRST_DELAY_MILLIS;

    RetryBackoff(RandomGenerator random) {
        this.random = random;
    }

    void start(long nowMillis) {
        deadlineMillis = nowMillis + BUDGET_MILLIS;
    }

    boolean isExpired(long nowMillis) {
        return nowMillis >= deadlineMillis;
    }

    long nextDelayMillis() {
        long delay = delayMillis / 2 + random.nextLong(delayMillis / 2 + 1);
        delayMillis = Math.min(MAX_DELAY_MILLIS, delayMillis * 2);
        return delay;
    }
}
