package io.hornbeamscale.standin;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;

/** An HTTP server on the loopback address. */
final class LoopbackServer implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 2;

    private final Undertow server;

    LoopbackServer(int port, HttpHandler handler) {
        server = Undertow.builder()
                .addHttpListener(port, "127.0.0.1")
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .setHandler(handler)
                .build();
    }

    InetSocketAddress start() {
        server.start();
        return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    @Override
    public void close() {
        server.stop();
    }
}
