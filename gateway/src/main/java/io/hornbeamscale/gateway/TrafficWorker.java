package io.hornbeamscale.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Creates the worker with the I/O thread that handles all traffic. */
final class TrafficWorker {
    private TrafficWorker() {}

    static XnioWorker create() {
        try {
            return Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_NAME, "traffic")
                            .set(Options.WORKER_IO_THREADS, 1)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.REUSE_ADDRESSES, true)
                            .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start the I/O thread", e);
        }
    }
}
