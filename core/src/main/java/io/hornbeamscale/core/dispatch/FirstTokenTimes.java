package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.estimate.DecayedSketch;

/** Learns how long attempts take from hand-over to the first token, to recognise those that take unusually long. */
final class FirstTokenTimes {
    private static final int WINDOW = 500;
    private static final long MIN_MILLIS = 500;
    /** The least wait at a server that is known to be slow. */
    private static final long MIN_SLOW_MILLIS = 200;
    /** The wait until enough attempts were seen. */
    private static final long FIRST_MILLIS = 3_000;

    private static final int ENOUGH = 50;

    private final DecayedSketch times = new DecayedSketch(WINDOW);
    private long limitMillis = FIRST_MILLIS;
    private int added;

    void add(long millis) {
        times.record(millis);
        added++;
        if (added >= ENOUGH && added % ENOUGH == 0) {
            limitMillis = Math.max(MIN_MILLIS, 2 * times.quantile(0.99));
        }
    }

    /** Returns the wait after which a second attempt is worthwhile. */
    long patienceMillis(boolean isSlow) {
        return isSlow ? Math.max(MIN_SLOW_MILLIS, limitMillis / 4) : limitMillis;
    }
}
