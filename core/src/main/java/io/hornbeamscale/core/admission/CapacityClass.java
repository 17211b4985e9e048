package io.hornbeamscale.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What is known of the requests of one service whose responses are all long or all short. Servers keep memory free for
 * short responses, so the two get capacity at different rates. Not safe for use by several threads.
 */
final class CapacityClass {
    /**
     * The part of an own interval until the median of the time to an admission, as admissions come at random; the
     * median of a sum of k random intervals is about k - 1/3 intervals.
     */
    private static final double MEDIAN_SHARE = 2.0 / 3;

    /** The median divided by the wait that two of three admissions exceed. */
    private static final double MEDIAN_TO_LIKELY_WAIT = 1.5;

    private final CapacityRate rate = new CapacityRate();
    private final CustomerShares shares = new CustomerShares();
    private final Deque<Return> returns = new ArrayDeque<>();
    private long returningTokens;

    CapacityRate rate() {
        return rate;
    }

    CustomerShares shares() {
        return shares;
    }

    /**
     * Returns the wait that a request with memory waiting ahead of it exceeds with a probability of about 0.7, in
     * milliseconds. A request is refused only if it would probably be late, since the rate rests on few admissions.
     */
    double likelyWaitMillis(long aheadTokens, AdmissionRequest request, long nowMillis) {
        double median = (aheadTokens + MEDIAN_SHARE * request.memoryTokens()) / rate.tokensPerMilli(nowMillis);
        return median / MEDIAN_TO_LIKELY_WAIT;
    }

    /**
     * Returns in how many milliseconds capacity is expected for a request that is refused now, after the waiting ones
     * and those that were told to return earlier; 0 if nothing is known.
     */
    double capacityMillis(long aheadTokens, AdmissionRequest request, long nowMillis) {
        while (!returns.isEmpty() && returns.peek().atMillis <= nowMillis) {
            returningTokens -= returns.poll().tokens;
        }
        return (aheadTokens + returningTokens + request.memoryTokens()) / rate.tokensPerMilli(nowMillis);
    }

    /** Counts a refused request whose caller was told to return. */
    void willReturn(AdmissionRequest request, long atMillis) {
        returns.add(new Return(atMillis, request.memoryTokens()));
        returningTokens += request.memoryTokens();
    }

    private record Return(long atMillis, long tokens) {}
}
