package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.estimate.DecayedSketch;

/** Learns how long attempts take from hand-over to the first token, to recognise those that take unusually long. */
final class FirstTokenTimes {
    private static final int WINDOW = 500;
    private static final long MIN_DELAY_MILLIS = 500;
    /** The least wait at a server that is known to be slow. */
    private static final long MIN_SLOW_SERVER_DELAY_MILLIS = 200;
    /** The wait until enough attempts were seen. */
    private static final long INITIAL_DELAY_MILLIS = 3_000;

    private static final int UPDATE_INTERVAL_VALUES = 50;

    private final DecayedSketch times = new DecayedSketch(WINDOW);
    private long delayMillis = INITIAL_DELAY_MILLIS;
    private int added;

    void add(long millis) {
        times.record(millis);
        added++;
        if (added >= UPDATE_INTERVAL_VALUES && added % UPDATE_INTERVAL_VALUES == 0) {
            delayMillis = Math.max(MIN_DELAY_MILLIS, 2 * times.quantile(0.99));
        }
    }

    /** Returns the wait after which a second attempt is worthwhile. */
    long hedgeDelayMillis(boolean isSlow) {
        return isSlow ? Math.max(MIN_SLOW_SERVER_DELAY_MILLIS, delayMillis / 4) : delayMillis;
    }
}
