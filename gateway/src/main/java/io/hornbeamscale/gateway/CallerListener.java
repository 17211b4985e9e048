package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** The port for callers. It hands each connection to {@link CallerConnections} before a byte of it is read. */
final class CallerListener implements AutoCloseable {
    private final Endpoint address;
    private final XnioWorker worker;
    private final HttpOpenListener requests;
    private final CallerConnections connections;
    private AcceptingChannel<StreamConnection> server;

    /**
     * Creates a listener that is not started.
     *
     * @param options the options of the HTTP parser
     * @param handler receives the requests
     */
    CallerListener(
            Endpoint address,
            XnioWorker worker,
            ByteBufferPool buffers,
            OptionMap options,
            HttpHandler handler,
            CallerConnections connections) {
        this.address = address;
        this.worker = worker;
        this.connections = connections;
        requests = new HttpOpenListener(
                buffers,
                OptionMap.builder()
                        .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                        .addAll(options)
                        .getMap());
        requests.setRootHandler(handler);
    }

    /**
     * Opens the port.
     *
     * @throws UncheckedIOException if the port is in use
     */
    void start(int backlog) {
        ChannelListener<StreamConnection> accept = connection -> connections.accept(connection, requests);
        OptionMap options = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, backlog)
                .getMap();
        try {
            server = worker.createStreamConnectionServer(
                    new InetSocketAddress(address.ip(), address.port()),
                    ChannelListeners.openListenerAdapter(accept),
                    options);
            server.resumeAccepts();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + address, e);
        }
    }

    /** Closes the port; further calls have no effect, as closing it again waits for the ended I/O thread for ever. */
    @Override
    public void close() {
        IoUtils.safeClose(server);
        server = null;
    }
}
