package io.hornbeamscale.daemon;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for conditions; the limit only bounds a failing test. */
final class Await {
    private static final long LIMIT_SECONDS = 60;

    private Await() {}

    static void until(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not reached within " + LIMIT_SECONDS + " s: " + what);
            }
            Thread.sleep(5);
        }
    }
}
