package io.hornbeamscale.core.schedule;

/** Measures the recent mean time between tokens and the recent token rate. */
final class TokenGaps {
    private static final long WINDOW_MILLIS = 200;

    private long windowStart;
    private long sum;
    private int count;
    private int tokens;
    private double gapMillis;
    private double tokensPerMilli;
    private long lastTokenMillis;

    void token(long previousMillis, int emitted, long nowMillis) {
        roll(nowMillis);
        tokens += emitted;
        lastTokenMillis = nowMillis;
        if (previousMillis > 0) {
            sum += nowMillis - previousMillis;
            count++;
        }
    }

    private void roll(long nowMillis) {
        long length = nowMillis - windowStart;
        if (length < WINDOW_MILLIS) {
            return;
        }
        if (count > 0) {
            gapMillis = (double) sum / count;
        }
        double rate = (double) tokens / length;
        tokensPerMilli = tokensPerMilli == 0 ? rate : 0.9 * tokensPerMilli + 0.1 * rate;
        windowStart = nowMillis;
        sum = 0;
        count = 0;
        tokens = 0;
    }

    /** Returns the mean gap in milliseconds, or the time since the last token if that is longer; 0 if nothing runs. */
    double gapMillis(int running, long nowMillis) {
        roll(nowMillis);
        if (running == 0 || lastTokenMillis == 0) {
            return 0;
        }
        return Math.max(gapMillis, nowMillis - (double) lastTokenMillis);
    }

    double tokensPerMilli() {
        return tokensPerMilli;
    }
}
