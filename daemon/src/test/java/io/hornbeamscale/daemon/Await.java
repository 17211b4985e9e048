package io.hornbeamscale.daemon;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Polls conditions that a test waits for. The time limit ends a failing test. */
final class Await {
    private static final long TIMEOUT_SECONDS = 60;

    private Await() {}

    static void until(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not reached within " + TIMEOUT_SECONDS + " s: " + what);
            }
            Thread.sleep(5);
        }
    }
}
