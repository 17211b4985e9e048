package io.hornbeamscale.daemon;

import io.hornbeamscale.gateway.MalformedResponseException;
import io.hornbeamscale.gateway.ServerChannel;
import io.hornbeamscale.gateway.ServerConnector;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Sends HTTP calls to one backend server. Only the agent's own calls share connections. A caller's call has a
 * connection of its own: the server may close an idle connection at any time, which would leave the outcome of the
 * call unknown, and nothing tells its response from an earlier one that the server sends once more.
 */
final class BackendHttpClient {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_IDLE_CONNECTIONS = 64;

    private final URI server;
    private final XnioWorker worker;
    private final ByteBufferPool bufferPool = new DefaultByteBufferPool(false, BUFFER_BYTES);
    private final Map<XnioIoThread, ServerConnector> connectors = new ConcurrentHashMap<>();
    private final Deque<Connection> idleConnections = new ConcurrentLinkedDeque<>();

    BackendHttpClient(URI server, XnioWorker worker) {
        this.server = server;
        this.worker = worker;
    }

    /** Starts a call; the listener is notified on I/O threads. */
    BackendHttpCall call(
            String method, String path, Map<String, String> headers, byte[] body, boolean mayReuse, Listener listener) {
        BackendHttpCall call = new BackendHttpCall(listener, mayReuse);
        Connection idle = mayReuse ? takeIdleConnection() : null;
        if (idle != null) {
            idle.http().getIoThread().execute(() -> send(idle, call, method, path, headers, body));
            return call;
        }
        ServerConnector connector = connectors.computeIfAbsent(worker.getIoThread(), ServerConnector::new);
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<ClientConnection>() {
                            @Override
                            public void completed(ClientConnection result) {
                                send(new Connection(result, connector.opened()), call, method, path, headers, body);
                            }

                            @Override
                            public void failed(IOException e) {
                                call.notConnected(e);
                            }
                        },
                        server,
                        connector,
                        bufferPool,
                        OptionMap.EMPTY);
        return call;
    }

    private Connection takeIdleConnection() {
        for (Connection c = idleConnections.pollLast(); c != null; c = idleConnections.pollLast()) {
            if (c.http().isOpen()) {
                return c;
            }
        }
        return null;
    }

    private void send(
            Connection connection,
            BackendHttpCall call,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body) {
        if (!call.connected(connection.http())) {
            return;
        }
        connection.channel().requestSent(method);
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(method)).setPath(path);
        headers.forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
        request.getRequestHeaders().put(Headers.HOST, server.getAuthority());
        if (body.length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        }
        connection.http().sendRequest(request, new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(new ResponseReader(connection, call));
                write(exchange.getRequestChannel(), ByteBuffer.wrap(body), call);
            }

            @Override
            public void failed(IOException e) {
                call.failed(e);
            }
        });
    }

    private static void write(StreamSinkChannel sink, ByteBuffer body, BackendHttpCall call) {
        try {
            while (body.hasRemaining()) {
                if (sink.write(body) == 0) {
                    sink.getWriteSetter().set(channel -> write(sink, body, call));
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (!sink.flush()) {
                sink.getWriteSetter()
                        .set(ChannelListeners.flushingChannelListener(null, (channel, e) -> call.failed(e)));
                sink.resumeWrites();
            }
        } catch (IOException e) {
            call.failed(e);
        }
    }

    private final class ResponseReader implements ClientCallback<ClientExchange> {
        private final Connection connection;
        private final BackendHttpCall call;

        ResponseReader(Connection connection, BackendHttpCall call) {
            this.connection = connection;
            this.call = call;
        }

        @Override
        public void completed(ClientExchange exchange) {
            call.head(exchange.getResponse());
            StreamSourceChannel source = exchange.getResponseChannel();
            ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
            source.getReadSetter().set(channel -> read(source, buffer));
            read(source, buffer);
        }

        @Override
        public void failed(IOException e) {
            call.failed(classify(e));
        }

        /** The HTTP client has one kind of exception for a lost connection and for a response that it cannot parse. */
        private IOException classify(IOException e) {
            return connection.channel().isEnded() ? e : new MalformedResponseException(e);
        }

        private void read(StreamSourceChannel source, ByteBuffer buffer) {
            try {
                while (!call.isClosed()) {
                    buffer.clear();
                    int count = source.read(buffer);
                    if (count == 0) {
                        source.resumeReads();
                        return;
                    }
                    if (count < 0) {
                        release();
                        call.complete();
                        return;
                    }
                    connection.channel().contentReceived();
                    buffer.flip();
                    call.body(buffer);
                }
            } catch (IOException e) {
                call.failed(classify(e));
            }
        }

        private void release() {
            if (call.mayReuse() && connection.http().isOpen() && idleConnections.size() < MAX_IDLE_CONNECTIONS) {
                idleConnections.addLast(connection);
            } else {
                IoUtils.safeClose(connection.http());
            }
        }
    }

    /**
     * A connection to the server.
     *
     * @param http the connection of the HTTP client
     * @param channel ends a response that is malformed, or sends a head, a chunk size or a trailer without end
     */
    private record Connection(ClientConnection http, ServerChannel channel) {}

    /**
     * Receives the events of one call: {@code head} once, {@code body} any number of times, and {@code complete} at the
     * end. {@code notConnected} comes instead of all of them, {@code failed} at any point before the end.
     */
    interface Listener {
        /** The server sent status and headers of its response. */
        void head(int status, Map<String, String> headers);

        /**
         * Bytes of the body arrived; the buffer is valid only until the method returns. Returns whether the response is
         * well formed and within its limits; if not, the call fails. A faulty server may send bytes without end.
         */
        boolean body(ByteBuffer bytes);

        /** The response is complete. */
        void complete();

        /** No connection could be established, so the server has not received the call. */
        void notConnected(IOException e);

        /** The call failed after a connection was established. */
        void failed(IOException e);
    }
}
