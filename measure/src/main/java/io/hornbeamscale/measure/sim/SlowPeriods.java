package io.hornbeamscale.measure.sim;

import java.util.Random;
import java.util.TreeMap;

/** Random periods of 3 to 8 s, starting about 25 s apart, in which one backend server is slow. */
final class SlowPeriods {
    private static final double MEAN_PAUSE_SECONDS = 20;
    private static final double MICROS_PER_SECOND = 1e6;

    private final TreeMap<Long, Long> endByStart = new TreeMap<>();

    SlowPeriods(int seconds, Random random) {
        double at = Scenario.WARM_UP_SECONDS + 5 + random.nextDouble() * MEAN_PAUSE_SECONDS;
        while (at < seconds) {
            double lengthSeconds = 3 + 5 * random.nextDouble();
            endByStart.put((long) (at * MICROS_PER_SECOND), (long) ((at + lengthSeconds) * MICROS_PER_SECOND));
            at += lengthSeconds - MEAN_PAUSE_SECONDS * Math.log(1 - random.nextDouble());
        }
    }

    boolean isSlow(long micros) {
        var last = endByStart.floorEntry(micros);
        return last != null && micros < last.getValue();
    }
}
