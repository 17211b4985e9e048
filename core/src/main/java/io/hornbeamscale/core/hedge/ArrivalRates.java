package io.hornbeamscale.core.hedge;

import io.hornbeamscale.core.util.Arguments;
import java.util.HashMap;
import java.util.Map;

/**
 * Recognizes bursts: requests to a service that arrive well above its recent average. Averages start with the first
 * request of a service. Not safe for use by several threads.
 */
public final class ArrivalRates {
    /** The time constant of the present rate, in milliseconds. Bursts last 3 to 10 s. */
    private static final double PRESENT_MILLIS = 2_000;

    /** The time constant of the average rate, in milliseconds; longer than a burst. */
    private static final double AVERAGE_MILLIS = 30_000;

    /** How far the present rate exceeds the average in a burst. The smallest bursts have 1.5 times the usual rate. */
    private static final double BURST_FACTOR = 1.25;

    /** How many standard deviations of randomly timed arrivals do not count as a burst. */
    private static final double NOISE_DEVIATIONS = 2;

    private final Map<String, Rates> services = new HashMap<>();

    /**
     * Records the arrival of a request.
     *
     * @param service the service, not null
     * @param nowMillis the present time
     */
    public void arrived(String service, long nowMillis) {
        Rates rates = services.computeIfAbsent(Arguments.notNull(service, "service"), k -> new Rates(nowMillis));
        rates.decay(nowMillis);
        rates.present++;
        rates.average++;
    }

    /**
     * Returns whether requests to a service arrive well above its recent average.
     *
     * @param service the service, not null
     * @param nowMillis the present time
     * @return whether there is a burst
     */
    public boolean isBurst(String service, long nowMillis) {
        Rates rates = services.get(Arguments.notNull(service, "service"));
        if (rates == null) {
            return false;
        }
        rates.decay(nowMillis);
        double present = rates.present / rates.span(PRESENT_MILLIS);
        double average = rates.average / rates.span(AVERAGE_MILLIS);
        double deviation = Math.sqrt(average / (2 * PRESENT_MILLIS));
        return present > BURST_FACTOR * average + NOISE_DEVIATIONS * deviation;
    }

    /** Counts of arrivals that decay exponentially with two time constants. */
    private static final class Rates {
        private final long startedAtMillis;
        private long decayedAtMillis;
        private double present;
        private double average;

        Rates(long nowMillis) {
            startedAtMillis = nowMillis;
            decayedAtMillis = nowMillis;
        }

        void decay(long nowMillis) {
            long millis = nowMillis - decayedAtMillis;
            if (millis > 0) {
                present *= Math.exp(-millis / PRESENT_MILLIS);
                average *= Math.exp(-millis / AVERAGE_MILLIS);
                decayedAtMillis = nowMillis;
            }
        }

        /** Returns the time over which a count extends, in milliseconds; shortly after the start it is the age. */
        double span(double constantMillis) {
            long age = Math.max(1, decayedAtMillis - startedAtMillis);
            return constantMillis * -Math.expm1(-age / constantMillis);
        }
    }
}
