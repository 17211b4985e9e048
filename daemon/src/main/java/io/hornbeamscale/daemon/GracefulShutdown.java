package io.hornbeamscale.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Waits for a signal to stop the process, drains it and closes it. */
final class GracefulShutdown {
    private static final long POLL_INTERVAL_MILLIS = 20;

    private GracefulShutdown() {}

    /**
     * Blocks until SIGTERM or SIGINT arrives, starts draining, and returns once the process is idle and closed.
     *
     * @param component the component, which names the logger and the thread
     * @param drain starts a graceful stop
     * @param isIdle returns whether the process may exit
     * @param process the process to close at the end
     * @return the exit status 0
     */
    static int await(String component, Runnable drain, BooleanSupplier isIdle, AutoCloseable process) {
        Logger log = LogManager.getLogger(component);
        CountDownLatch stopRequested = new CountDownLatch(1);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            stopRequested.countDown();
                            awaitQuietly(stopped);
                            // Otherwise the exit status of the JVM would report the signal, although the stop was
                            // graceful.
                            Runtime.getRuntime().halt(0);
                        },
                        component + "-stop"));
        awaitQuietly(stopRequested);
        log.info("The process is stopping; running responses may finish.");
        drain.run();
        try {
            do {
                Thread.sleep(POLL_INTERVAL_MILLIS);
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
