package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One request to a server and its response. The listener is notified of exactly one end, unless the exchange is
 * cancelled.
 */
public final class BackendExchange {
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final BackendClient client;
    private final Endpoint to;
    private final BackendClient.Request request;
    private final Listener listener;
    private PooledConnection connection;
    private XnioExecutor.Key connectTimer;
    private long expectedBytes = -1;
    private long receivedBytes;
    private boolean isSent;
    private boolean isRequestWritten;
    private boolean isEnded;
    private boolean isReleasable = true;
    private StreamSourceChannel pausedSource;
    private boolean isPaused;
    private long serverIdleTimeoutMillis;

    BackendExchange(BackendClient client, Endpoint to, BackendClient.Request request, Listener listener) {
        this.client = client;
        this.to = to;
        this.request = request;
        this.listener = listener;
    }

    /** Cancels the exchange and closes its connection; the listener is not called again. */
    public void cancel() {
        if (end()) {
            closeConnection();
        }
    }

    /**
     * Keeps the connection from being reused after this response.
     */
    public void doNotReuse() {
        isReleasable = false;
    }

    /** Keeps the body of the response from being read until {@link #resume}. Called by the handler of the head only. */
    void pause() {
        isPaused = true;
    }

    /** Reads the body of a response that was paused. */
    void resume() {
        isPaused = false;
        if (!isEnded && pausedSource != null) {
            read(pausedSource);
        }
    }

    /**
     * Sets how long the server keeps an idle connection.
     *
     * @param millis the time, in milliseconds, 0 if unknown
     */
    public void setServerIdleTimeout(long millis) {
        serverIdleTimeoutMillis = millis;
    }

    /**
     * Returns whether any part of the request may have left this process.
     *
     * @return whether the server may have received the request
     */
    public boolean isSent() {
        return isSent;
    }

    void connect() {
        connectTimer = client.thread()
                .executeAfter(
                        () -> fail(Failure.NOT_SENT, "no connection within " + request.connectTimeoutMillis() + " ms"),
                        request.connectTimeoutMillis(),
                        TimeUnit.MILLISECONDS);
        URI uri = URI.create("http://" + to);
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<ClientConnection>() {
                            @Override
                            public void completed(ClientConnection result) {
                                connectTimer.remove();
                                sendOn(new PooledConnection(
                                        result, client.connector().opened()));
                            }

                            @Override
                            public void failed(IOException e) {
                                fail(Failure.NOT_SENT, "connect failed: " + e.getMessage());
                            }
                        },
                        uri,
                        client.connector(),
                        client.buffers(),
                        OPTIONS);
    }

    void sendOn(PooledConnection used) {
        if (isEnded) {
            used.close();
            return;
        }
        connection = used;
        used.recordSend(request.requestId());
        used.channel().requestSent(request.method());
        ClientRequest head =
                new ClientRequest().setMethod(new HttpString(request.method())).setPath(request.target());
        for (HeaderValues values : request.headers()) {
            head.getRequestHeaders().putAll(values.getHeaderName(), values);
        }
        int length = request.body().remaining();
        if (length > 0 || request.hasLength()) {
            head.getRequestHeaders().put(Headers.CONTENT_LENGTH, length);
        }
        isSent = true;
        used.connection().sendRequest(head, new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(new ClientCallback<>() {
                    @Override
                    public void completed(ClientExchange result) {
                        responded(result);
                    }

                    @Override
                    public void failed(IOException e) {
                        fail(Failure.BROKEN, "no response: " + e.getMessage());
                    }
                });
                write(exchange.getRequestChannel(), request.body().duplicate());
            }

            @Override
            public void failed(IOException e) {
                fail(Failure.BROKEN, "sending failed: " + e.getMessage());
            }
        });
    }

    private void write(StreamSinkChannel sink, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (sink.write(body) == 0) {
                    sink.getWriteSetter().set(channel -> write(sink, body));
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (sink.flush()) {
                isRequestWritten = true;
                return;
            }
            sink.getWriteSetter().set(channel -> flush(sink));
            sink.resumeWrites();
        } catch (IOException e) {
            // The server may have responded before it read the body, so its response decides the outcome.
            isReleasable = false;
        }
    }

    private void flush(StreamSinkChannel sink) {
        try {
            if (sink.flush()) {
                isRequestWritten = true;
                sink.suspendWrites();
            }
        } catch (IOException e) {
            isReleasable = false;
            sink.suspendWrites();
        }
    }

    private void responded(ClientExchange exchange) {
        if (isEnded) {
            return;
        }
        HeaderMap headers = exchange.getResponse().getResponseHeaders();
        String length = headers.getFirst(Headers.CONTENT_LENGTH);
        if (length != null && !headers.contains(Headers.TRANSFER_ENCODING)) {
            expectedBytes = parseLength(length);
        }
        listener.responded(exchange.getResponse().getResponseCode(), headers);
        if (isEnded) {
            return;
        }
        StreamSourceChannel source = exchange.getResponseChannel();
        source.getReadSetter().set(channel -> read(source));
        read(source);
    }

    private static long parseLength(String text) {
        try {
            return Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private void read(StreamSourceChannel source) {
        if (isPaused) {
            // The HTTP client resumes reads by itself after the head.
            source.suspendReads();
            pausedSource = source;
            return;
        }
        try (PooledByteBuffer pooled = client.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!isEnded) {
                buffer.clear();
                int count = source.read(buffer);
                if (count == 0) {
                    source.resumeReads();
                    return;
                }
                if (count < 0) {
                    complete();
                    return;
                }
                receivedBytes += count;
                connection.channel().contentReceived();
                buffer.flip();
                listener.received(buffer);
            }
        } catch (IOException e) {
            fail(Failure.BROKEN, "the response broke off: " + e.getMessage());
        }
    }

    private void complete() {
        if (expectedBytes >= 0 && receivedBytes != expectedBytes) {
            fail(Failure.BROKEN, "the response has " + receivedBytes + " of " + expectedBytes + " bytes");
            return;
        }
        if (!end()) {
            return;
        }
        if (isReusable()) {
            client.release(to, connection, serverIdleTimeoutMillis, ControlLoop.now());
        } else {
            connection.close();
        }
        listener.completed();
    }

    private boolean isReusable() {
        return isReleasable
                && isRequestWritten
                && request.reuse() != BackendClient.Reuse.NONE
                && !connection.isExhausted()
                && connection.isOpen();
    }

    private void fail(Failure failure, String reason) {
        if (end()) {
            closeConnection();
            listener.failed(failure, reason);
        }
    }

    private void closeConnection() {
        if (connection != null) {
            connection.abort();
        }
    }

    private boolean end() {
        if (isEnded) {
            return false;
        }
        isEnded = true;
        if (connectTimer != null) {
            connectTimer.remove();
        }
        return true;
    }

    /** Whether the server may have run the request of a failed exchange. */
    public enum Failure {
        /** The server has not received the request. */
        NOT_SENT,
        /** The server may have run the request. */
        BROKEN
    }

    /**
     * Receives a response: {@code responded}, then {@code received} any number of times, then {@code completed} or
     * {@code failed}. {@code failed} may be the only call.
     */
    public interface Listener {
        /**
         * Handles the head of the response.
         *
         * @param status the status code
         * @param headers the headers
         */
        void responded(int status, HeaderMap headers);

        /**
         * Handles bytes of the body.
         *
         * @param bytes the bytes, valid during the call only
         */
        void received(ByteBuffer bytes);

        /** Handles the end of a complete response. */
        void completed();

        /**
         * Handles the end of the exchange without a complete response.
         *
         * @param failure whether the server may have run the request
         * @param reason a description for the log
         */
        void failed(Failure failure, String reason);
    }
}
