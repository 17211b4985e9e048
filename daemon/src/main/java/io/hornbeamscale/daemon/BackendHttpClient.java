package io.hornbeamscale.daemon;

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
import java.util.concurrent.ConcurrentLinkedDeque;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
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
    private final Deque<ClientConnection> idleConnections = new ConcurrentLinkedDeque<>();

    BackendHttpClient(URI server, XnioWorker worker) {
        this.server = server;
        this.worker = worker;
    }

    /** Starts a call; the listener is notified on I/O threads. */
    BackendHttpCall call(
            String method, String path, Map<String, String> headers, byte[] body, boolean mayReuse, Listener listener) {
        BackendHttpCall call = new BackendHttpCall(listener, mayReuse);
        ClientConnection connection = mayReuse ? takeIdleConnection() : null;
        if (connection != null) {
            ClientConnection idle = connection;
            idle.getIoThread().execute(() -> send(idle, call, method, path, headers, body));
            return call;
        }
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<ClientConnection>() {
                            @Override
                            public void completed(ClientConnection result) {
                                send(result, call, method, path, headers, body);
                            }

                            @Override
                            public void failed(IOException e) {
                                call.notConnected(e);
                            }
                        },
                        server,
                        worker,
                        bufferPool,
                        OptionMap.EMPTY);
        return call;
    }

    private ClientConnection takeIdleConnection() {
        for (ClientConnection c = idleConnections.pollLast(); c != null; c = idleConnections.pollLast()) {
            if (c.isOpen()) {
                return c;
            }
        }
        return null;
    }

    private void send(
            ClientConnection connection,
            BackendHttpCall call,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body) {
        if (!call.connected(connection)) {
            return;
        }
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(method)).setPath(path);
        headers.forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
        request.getRequestHeaders().put(Headers.HOST, server.getAuthority());
        if (body.length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        }
        connection.sendRequest(request, new ClientCallback<>() {
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
        private final ClientConnection connection;
        private final BackendHttpCall call;

        ResponseReader(ClientConnection connection, BackendHttpCall call) {
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
            call.failed(e);
        }

        private void read(StreamSourceChannel source, ByteBuffer buffer) {
            try {
                while (true) {
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
                    buffer.flip();
                    call.body(buffer);
                }
            } catch (IOException e) {
                IoUtils.safeClose(connection);
                call.failed(e);
            }
        }

        private void release() {
            if (call.mayReuse() && connection.isOpen() && idleConnections.size() < MAX_IDLE_CONNECTIONS) {
                idleConnections.addLast(connection);
            } else {
                IoUtils.safeClose(connection);
            }
        }
    }

    /**
     * Receives the events of one call: {@code head} once, {@code body} any number of times, and {@code complete} at the
     * end. {@code notConnected} comes instead of all of them, {@code failed} at any point before the end.
     */
    interface Listener {
        /** The server sent status and headers of its response. */
        void head(int status, Map<String, String> headers);

        /** Bytes of the body arrived; the buffer is valid only until the method returns. */
        void body(ByteBuffer bytes);

        /** The response is complete. */
        void complete();

        /** No connection could be established, so the server has not received the call. */
        void notConnected(IOException e);

        /** The call failed after a connection was established. */
        void failed(IOException e);
    }
}
