package io.hornbeamscale.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Waits for the request to stop a process, and for its responses to end. */
final class Stops {
    private static final long CHECK_MILLIS = 20;

    private Stops() {}

    /** Blocks until SIGTERM or SIGINT arrived and the process is idle. */
    static int await(String component, Runnable drain, BooleanSupplier isIdle, AutoCloseable process) {
        Logger log = LogManager.getLogger(component);
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            asked.countDown();
                            awaitQuietly(stopped);
                            // The JVM would report the signal as its status although the stop was orderly.
                            Runtime.getRuntime().halt(0);
                        },
                        component + "-stop"));
        awaitQuietly(asked);
        log.info("The process stops; running responses go on to their end.");
        drain.run();
        try {
            do {
                Thread.sleep(CHECK_MILLIS);
            } while (!isIdle.getAsBoolean());
            process.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            log.error("Closing the process failed.", e);
        }
        log.info("The process has stopped.");
        stopped.countDown();
        return 0;
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
