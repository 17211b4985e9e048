package io.hornbeamscale.core.schedule;

/** Measures the recent mean time between tokens and the recent token rate. */
final class TokenGaps {
    private static final long WINDOW_MILLIS = 200;

    private long windowStartMillis;
    private long gapSumMillis;
    private int gapCount;
    private int tokens;
    private double gapMillis;
    private double tokensPerMilli;
    private long lastTokenMillis;

    void record(long previousMillis, int emitted, long nowMillis) {
        rollWindow(nowMillis);
        tokens += emitted;
        lastTokenMillis = nowMillis;
        if (previousMillis > 0) {
            gapSumMillis += nowMillis - previousMillis;
            gapCount++;
        }
    }

    private void rollWindow(long nowMillis) {
        long elapsedMillis = nowMillis - windowStartMillis;
        if (elapsedMillis < WINDOW_MILLIS) {
            return;
        }
        if (gapCount > 0) {
            gapMillis = (double) gapSumMillis / gapCount;
        }
        double rate = (double) tokens / elapsedMillis;
        tokensPerMilli = tokensPerMilli == 0 ? rate : 0.9 * tokensPerMilli + 0.1 * rate;
        windowStartMillis = nowMillis;
        gapSumMillis = 0;
        gapCount = 0;
        tokens = 0;
    }

    /** Returns the mean gap in milliseconds, or the time since the last token if that is longer; 0 if nothing runs. */
    double gapMillis(int running, long nowMillis) {
        rollWindow(nowMillis);
        if (running == 0 || lastTokenMillis == 0) {
            return 0;
        }
        return Math.max(gapMillis, nowMillis - (double) lastTokenMillis);
    }

    double tokensPerMilli() {
        return tokensPerMilli;
    }
}
