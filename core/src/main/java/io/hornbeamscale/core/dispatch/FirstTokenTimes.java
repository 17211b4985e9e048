package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.estimate.DecayedSketch;

/** Estimates the time from hand-over to the first token, to detect attempts that take unusually long. */
final class FirstTokenTimes {
    private static final int WINDOW_VALUES = 500;
    private static final long MIN_DELAY_MILLIS = 500;
    /** The minimum delay at a server that is known to be slow. */
    private static final long MIN_SLOW_SERVER_DELAY_MILLIS = 200;
    /** The delay until enough attempts were recorded. */
    private static final long INITIAL_DELAY_MILLIS = 3_000;

    /** The number of recorded attempts after which the delay is computed again. */
    private static final int UPDATE_INTERVAL_VALUES = 50;

    private final DecayedSketch times = new DecayedSketch(WINDOW_VALUES);
    private long delayMillis = INITIAL_DELAY_MILLIS;
    private int added;

    void add(long millis) {
        times.record(millis);
        added++;
        if (added >= UPDATE_INTERVAL_VALUES && added % UPDATE_INTERVAL_VALUES == 0) {
            delayMillis = Math.max(MIN_DELAY_MILLIS, 2 * times.quantile(0.99));
        }
    }

    /** Returns the delay after which an attempt without a token is hedged, in milliseconds. */
    long hedgeDelayMillis(boolean isSlow) {
        return isSlow ? Math.max(MIN_SLOW_SERVER_DELAY_MILLIS, delayMillis / 4) : delayMillis;
    }
}
