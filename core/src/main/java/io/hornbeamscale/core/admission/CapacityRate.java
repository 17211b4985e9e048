package io.hornbeamscale.core.admission;

/**
 * Estimates the rate at which memory becomes available to this entry for requests of one class, in tokens per
 * millisecond. The rate of the admissions of waiting requests is measured only while requests wait, since otherwise it
 * is the rate of the demand. It contains the effect of the other entries, which compete for the same servers. Until
 * enough was measured, the memory of this entry's running requests divided by their duration is used: in a shortage,
 * each entry gets on average what it frees. Not safe for use by several threads.
 */
final class CapacityRate {
    /** The half-life of measurements, in milliseconds; bursts last 3 to 10 s. */
    static final long HALF_LIFE_MILLIS = 5_000;

    /** The measured time that counts as much as the expectation from the running requests, in milliseconds. */
    static final long EXPECTATION_MILLIS = 2_000;

    private final DecayedSum admittedTokens = new DecayedSum(HALF_LIFE_MILLIS);
    private final DecayedSum shortageMillis = new DecayedSum(HALF_LIFE_MILLIS);
    private final DecayedSum endedTokens = new DecayedSum(HALF_LIFE_MILLIS);
    private final DecayedSum endedTokenMillis = new DecayedSum(HALF_LIFE_MILLIS);
    private long runningTokens;
    private double expectedRate;
    private int waiting;
    private long measuredUntilMillis;

    /** Changes the number of waiting requests. */
    void waitingChanged(int change, long nowMillis) {
        measure(nowMillis);
        waiting += change;
    }

    /** Counts a request that begins to run; it is a measurement if it or another one has waited. */
    void admitted(AdmissionRequest request, boolean hasWaited, long nowMillis) {
        runningTokens += request.memoryTokens();
        expectedRate += rate(request);
        if (hasWaited || waiting > 0) {
            admittedTokens.add((double) request.memoryTokens(), nowMillis);
        }
    }

    /** Withdraws an admission, since the server has refused the request. */
    void returned(AdmissionRequest request, long nowMillis) {
        forget(request);
        admittedTokens.add((double) -request.memoryTokens(), nowMillis);
    }

    /** Counts the end of a request that ran for a time. */
    void ended(AdmissionRequest request, long ranMillis, long nowMillis) {
        forget(request);
        endedTokens.add((double) request.memoryTokens(), nowMillis);
        endedTokenMillis.add((double) request.memoryTokens() * ranMillis, nowMillis);
    }

    /** Returns the rate, in tokens per millisecond; infinite while nothing is known. */
    double tokensPerMilli(long nowMillis) {
        measure(nowMillis);
        double measured = shortageMillis.value(nowMillis);
        double expected = expectedTokensPerMilli(nowMillis);
        if (expected <= 0) {
            return measured < EXPECTATION_MILLIS
                    ? Double.POSITIVE_INFINITY
                    : admittedTokens.value(nowMillis) / measured;
        }
        return (admittedTokens.value(nowMillis) + expected * EXPECTATION_MILLIS) / (measured + EXPECTATION_MILLIS);
    }

    private double expectedTokensPerMilli(long nowMillis) {
        double tokens = endedTokens.value(nowMillis);
        double tokenMillis = endedTokenMillis.value(nowMillis);
        // The measured duration replaces the assumed one once a few responses have ended.
        return tokens >= runningTokens && tokenMillis > 0 ? runningTokens * tokens / tokenMillis : expectedRate;
    }

    private void forget(AdmissionRequest request) {
        runningTokens -= request.memoryTokens();
        expectedRate = runningTokens == 0 ? 0 : expectedRate - rate(request);
    }

    private void measure(long nowMillis) {
        if (waiting > 0 && nowMillis > measuredUntilMillis) {
            shortageMillis.add((double) (nowMillis - measuredUntilMillis), nowMillis);
        }
        measuredUntilMillis = Math.max(measuredUntilMillis, nowMillis);
    }

    private static double rate(AdmissionRequest request) {
        return request.memoryTokens() / Math.max(1, request.durationMillis());
    }
}
