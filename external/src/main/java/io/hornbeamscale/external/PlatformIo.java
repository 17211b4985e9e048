package io.hornbeamscale.external;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.util.Arguments;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The I/O thread, buffers and source of randomness that the HTTP clients of one process share. */
public final class PlatformIo implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES);
    private final RandomGenerator random;

    /**
     * Starts the I/O thread.
     *
     * @param random the source of randomness for jitter, used only on the I/O thread, not null
     */
    public PlatformIo(RandomGenerator random) {
        this.random = Arguments.notNull(random, "random");
        try {
            worker = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, 1)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.THREAD_DAEMON, true)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException e) {
            throw new ServingException(
                    ErrorKind.INTERNAL, RunOutcome.NOT_RUN, "cannot start the I/O thread of the platform clients", e);
        }
        thread = worker.getIoThread(0);
    }

    XnioIoThread thread() {
        return thread;
    }

    ByteBufferPool buffers() {
        return buffers;
    }

    RandomGenerator random() {
        return random;
    }

    @Override
    public void close() {
        worker.shutdownNow();
        try {
            // A listener that is still running would fail on a closed buffer pool.
            if (worker.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                buffers.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
