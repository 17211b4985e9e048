package io.hornbeamscale.daemon;

import java.util.function.IntConsumer;
import org.apache.logging.log4j.LogManager;

/**
 * Ends the process when a thread ends with an error. Without the thread, the process would stay alive without following
 * the store or hearing other entries; the platform starts a process that has ended again.
 */
final class FatalErrorHandler implements Thread.UncaughtExceptionHandler {
    /** The exit status after an internal error. */
    static final int INTERNAL_ERROR = 70;

    private final IntConsumer halt;

    /**
     * Creates a handler.
     *
     * @param halt ends the process at once with an exit status
     */
    FatalErrorHandler(IntConsumer halt) {
        this.halt = halt;
    }

    @Override
    public void uncaughtException(Thread thread, Throwable error) {
        try {
            LogManager.getLogger("process").fatal("Thread {} ended with an error; the process ends.", thread, error);
            // Log lines may wait in a queue that is lost with the process.
            System.err.println("Thread " + thread.getName() + " ended with an error: " + error);
        } finally {
            halt.accept(INTERNAL_ERROR);
        }
    }
}
