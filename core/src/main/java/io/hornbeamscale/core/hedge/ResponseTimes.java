package io.hornbeamscale.core.hedge;

import io.hornbeamscale.core.estimate.DecayedSketch;
import io.hornbeamscale.core.util.Arguments;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The recent response times of each service, as observed by this entry. Old times decay by number and by age. The
 * memory per service is fixed, about 5 KB. Not safe for use by several threads.
 */
public final class ResponseTimes {
    /** The weight at which all counts of a service are halved, in responses. */
    private static final int WINDOW_RESPONSES = 4_000;

    /** The time after which the weight of a response is halved, in milliseconds. */
    private static final long HALF_LIFE_MILLIS = 60_000;

    /** After this many half-lives a sketch is empty. */
    private static final long MAX_HALVINGS = 16;

    /** The weight of responses above a quantile without which the quantile is unknown: its error would be too great. */
    private static final double MIN_TAIL_RESPONSES = 2;

    private final Map<String, Times> services = new HashMap<>();

    /**
     * Records the time of a response, or of a send that was cancelled without one after its request was hedged: such a
     * send would have taken longer, and leaving it out would lower the quantile with each hedge.
     *
     * @param service the service, not null
     * @param millis the time from sending to the end of the response, in milliseconds
     * @param nowMillis the present time
     */
    public void record(String service, long millis, long nowMillis) {
        Times times = services.computeIfAbsent(Arguments.notNull(service, "service"), k -> new Times(nowMillis));
        times.decay(nowMillis);
        times.sketch.record(millis);
    }

    /**
     * Returns a quantile of the response times of a service.
     *
     * @param service the service, not null
     * @param share the share of responses that take at most this time, from 0 to 1
     * @param nowMillis the present time
     * @return the quantile, in milliseconds, empty if too few recent responses lie above it
     */
    public OptionalLong quantile(String service, double share, long nowMillis) {
        Times times = services.get(Arguments.notNull(service, "service"));
        if (times == null) {
            return OptionalLong.empty();
        }
        times.decay(nowMillis);
        if (times.sketch.weight() * (1 - share) < MIN_TAIL_RESPONSES) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(times.sketch.quantile(share));
    }

    private static final class Times {
        private final DecayedSketch sketch = new DecayedSketch(WINDOW_RESPONSES);
        private long decayedAtMillis;

        Times(long nowMillis) {
            decayedAtMillis = nowMillis;
        }

        void decay(long nowMillis) {
            long halvings = (nowMillis - decayedAtMillis) / HALF_LIFE_MILLIS;
            if (halvings <= 0) {
                return;
            }
            decayedAtMillis += halvings * HALF_LIFE_MILLIS;
            for (long i = Math.min(MAX_HALVINGS, halvings); i > 0; i--) {
                sketch.halve();
            }
        }
    }
}
