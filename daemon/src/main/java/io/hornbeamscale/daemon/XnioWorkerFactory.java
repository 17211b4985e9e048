package io.hornbeamscale.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Creates XNIO workers, the I/O threads of a process. */
final class XnioWorkerFactory {
    private static final int IO_THREADS = 2;

    private XnioWorkerFactory() {}

    static XnioWorker create(String name) {
        try {
            return Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_NAME, name)
                            .set(Options.WORKER_IO_THREADS, IO_THREADS)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.THREAD_DAEMON, true)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start I/O threads", e);
        }
    }
}
