package io.hornbeamscale.daemon;

import java.util.concurrent.ThreadLocalRandom;

/** Chooses the incarnation of a process. */
final class Incarnations {
    private static final int RANDOM_BITS = 10;

    private Incarnations() {}

    /** Returns a number that rises with the time of the start; random bits separate starts of the same millisecond. */
    static long next() {
        return (System.currentTimeMillis() << RANDOM_BITS)
                | ThreadLocalRandom.current().nextInt(1 << RANDOM_BITS);
    }
}
