package io.hornbeamscale.measure.sim;

import java.util.Random;
import java.util.TreeMap;

/** Random moments of 3 to 8 s, about 25 s apart, in which one runner is slow. */
final class SlowMoments {
    private static final double PAUSE_SECONDS = 20;
    private static final double MICROS = 1e6;

    private final TreeMap<Long, Long> endByStart = new TreeMap<>();

    SlowMoments(int seconds, Random random) {
        double at = Scenario.WARM_UP_SECONDS + 5 + random.nextDouble() * PAUSE_SECONDS;
        while (at < seconds) {
            double length = 3 + 5 * random.nextDouble();
            endByStart.put((long) (at * MICROS), (long) ((at + length) * MICROS));
            at += length - PAUSE_SECONDS * Math.log(1 - random.nextDouble());
        }
    }

    boolean isSlow(long micros) {
        var last = endByStart.floorEntry(micros);
        return last != null && micros < last.getValue();
    }
}
