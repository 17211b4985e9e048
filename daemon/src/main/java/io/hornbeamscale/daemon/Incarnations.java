package io.hornbeamscale.daemon;

import java.util.concurrent.ThreadLocalRandom;

/** Generates the incarnation numbers of processes. */
final class Incarnations {
    private static final int RANDOM_BITS = 10;

    private Incarnations() {}

    /** Returns a number that increases with the wall clock; random bits distinguish calls within one millisecond. */
    static long next() {
        return (System.currentTimeMillis() << RANDOM_BITS)
                | ThreadLocalRandom.current().nextInt(1 << RANDOM_BITS);
    }
}
