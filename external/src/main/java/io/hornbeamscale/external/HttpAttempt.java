package io.hornbeamscale.external;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringReadChannelListener;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;

/** One attempt of an HTTP request. All of its methods run on the I/O thread. */
final class HttpAttempt {
    /** The greatest number of idle connections; further ones are closed after their response. */
    private static final int MAX_IDLE_CONNECTIONS = 8;

    private final PlatformIo io;
    private final URI base;
    private final HttpRequestSpec spec;
    private final Deque<ClientConnection> idleConnections;
    private final Consumer<HttpOutcome> callback;
    private XnioExecutor.Key timer;
    private ClientConnection connection;
    private boolean isSent;
    private boolean isDone;

    HttpAttempt(
            PlatformIo io,
            URI base,
            HttpRequestSpec spec,
            Deque<ClientConnection> idleConnections,
            Consumer<HttpOutcome> callback) {
        this.io = io;
        this.base = base;
        this.spec = spec;
        this.idleConnections = idleConnections;
        this.callback = callback;
    }

    void start(long timeoutMillis) {
        timer = io.thread().executeAfter(() -> fail("no response in time"), timeoutMillis, TimeUnit.MILLISECONDS);
        ClientConnection reusable = pollIdle();
        if (reusable != null) {
            send(reusable);
            return;
        }
        UndertowClient.getInstance()
                .connect(
                        new StepCallback<ClientConnection>() {
                            @Override
                            public void completed(ClientConnection result) {
                                send(result);
                            }
                        },
                        base,
                        io.thread(),
                        io.buffers(),
                        OptionMap.EMPTY);
    }

    private ClientConnection pollIdle() {
        while (!idleConnections.isEmpty()) {
            ClientConnection candidate = idleConnections.pollFirst();
            if (candidate.isOpen()) {
                return candidate;
            }
        }
        return null;
    }

    private void send(ClientConnection target) {
        if (isDone) {
            IoUtils.safeClose(target);
            return;
        }
        connection = target;
        isSent = true;
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(spec.method())).setPath(spec.path());
        request.getRequestHeaders().put(Headers.HOST, base.getAuthority());
        if (!spec.ifNoneMatch().isEmpty()) {
            request.getRequestHeaders().put(Headers.IF_NONE_MATCH, spec.ifNoneMatch());
        }
        if (!spec.body().isEmpty()) {
            int length = spec.body().getBytes(StandardCharsets.UTF_8).length;
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, length);
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        }
        target.sendRequest(request, new StepCallback<ClientExchange>() {
            @Override
            public void completed(ClientExchange exchange) {
                requestSent(exchange);
            }
        });
    }

    private void requestSent(ClientExchange exchange) {
        exchange.setResponseListener(new StepCallback<ClientExchange>() {
            @Override
            public void completed(ClientExchange result) {
                readResponse(result);
            }
        });
        if (!spec.body().isEmpty()) {
            new StringWriteChannelListener(spec.body()).setup(exchange.getRequestChannel());
        }
    }

    private void readResponse(ClientExchange exchange) {
        int status = exchange.getResponse().getResponseCode();
        long retryAfter =
                retryAfterMillis(exchange.getResponse().getResponseHeaders().getFirst(Headers.RETRY_AFTER));
        String etag = exchange.getResponse().getResponseHeaders().getFirst(Headers.ETAG);
        new StringReadChannelListener(io.buffers()) {
            @Override
            protected void stringDone(String body) {
                succeed(new HttpOutcome.Answered(status, retryAfter, etag == null ? "" : etag, body));
            }

            @Override
            protected void error(IOException e) {
                fail(String.valueOf(e.getMessage()));
            }
        }.setup(exchange.getResponseChannel());
    }

    private static long retryAfterMillis(String text) {
        if (text == null || !text.matches("\\d{1,6}")) {
            return 0;
        }
        return TimeUnit.SECONDS.toMillis(Long.parseLong(text));
    }

    private void succeed(HttpOutcome outcome) {
        if (isDone) {
            return;
        }
        finish();
        if (connection.isOpen() && idleConnections.size() < MAX_IDLE_CONNECTIONS) {
            idleConnections.addFirst(connection);
        } else {
            IoUtils.safeClose(connection);
        }
        callback.accept(outcome);
    }

    private void fail(String reason) {
        if (isDone) {
            return;
        }
        finish();
        IoUtils.safeClose(connection);
        callback.accept(isSent ? new HttpOutcome.Lost(reason) : new HttpOutcome.NotSent(reason));
    }

    private void finish() {
        isDone = true;
        timer.remove();
    }

    /**
     * The callback of one step, whose failure ends the attempt.
     *
     * @param <T> the type of the step's result
     */
    private abstract class StepCallback<T> implements ClientCallback<T> {
        @Override
        public void failed(IOException e) {
            fail(String.valueOf(e.getMessage()));
        }
    }
}
