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

/** One attempt of an HTTP call. All of its methods run on the I/O thread. */
final class HttpAttempt {
    /** Connections above this number are closed after their answer. */
    private static final int MAX_IDLE = 8;

    private final PlatformIo io;
    private final URI base;
    private final HttpCall call;
    private final Deque<ClientConnection> idle;
    private final Consumer<HttpOutcome> done;
    private XnioExecutor.Key timer;
    private ClientConnection connection;
    private boolean isSent;
    private boolean isDone;

    HttpAttempt(PlatformIo io, URI base, HttpCall call, Deque<ClientConnection> idle, Consumer<HttpOutcome> done) {
        this.io = io;
        this.base = base;
        this.call = call;
        this.idle = idle;
        this.done = done;
    }

    void begin(long limitMillis) {
        timer = io.thread().executeAfter(() -> fail("no answer in time"), limitMillis, TimeUnit.MILLISECONDS);
        ClientConnection reusable = pollIdle();
        if (reusable != null) {
            send(reusable);
            return;
        }
        UndertowClient.getInstance()
                .connect(
                        new Callback<ClientConnection>() {
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
        while (!idle.isEmpty()) {
            ClientConnection candidate = idle.pollFirst();
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
                new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
        request.getRequestHeaders().put(Headers.HOST, base.getAuthority());
        if (!call.ifNoneMatch().isEmpty()) {
            request.getRequestHeaders().put(Headers.IF_NONE_MATCH, call.ifNoneMatch());
        }
        if (!call.body().isEmpty()) {
            int length = call.body().getBytes(StandardCharsets.UTF_8).length;
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, length);
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        }
        target.sendRequest(request, new Callback<ClientExchange>() {
            @Override
            public void completed(ClientExchange exchange) {
                sent(exchange);
            }
        });
    }

    private void sent(ClientExchange exchange) {
        exchange.setResponseListener(new Callback<ClientExchange>() {
            @Override
            public void completed(ClientExchange result) {
                read(result);
            }
        });
        if (!call.body().isEmpty()) {
            new StringWriteChannelListener(call.body()).setup(exchange.getRequestChannel());
        }
    }

    private void read(ClientExchange exchange) {
        int status = exchange.getResponse().getResponseCode();
        long retryAfter =
                retryAfterMillis(exchange.getResponse().getResponseHeaders().getFirst(Headers.RETRY_AFTER));
        String tag = exchange.getResponse().getResponseHeaders().getFirst(Headers.ETAG);
        new StringReadChannelListener(io.buffers()) {
            @Override
            protected void stringDone(String body) {
                succeed(new HttpOutcome.Answered(status, retryAfter, tag == null ? "" : tag, body));
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
        if (connection.isOpen() && idle.size() < MAX_IDLE) {
            idle.addFirst(connection);
        } else {
            IoUtils.safeClose(connection);
        }
        done.accept(outcome);
    }

    private void fail(String reason) {
        if (isDone) {
            return;
        }
        finish();
        IoUtils.safeClose(connection);
        done.accept(isSent ? new HttpOutcome.Lost(reason) : new HttpOutcome.NotSent(reason));
    }

    private void finish() {
        isDone = true;
        timer.remove();
    }

    /**
     * Ends the attempt when a step fails.
     *
     * @param <T> the type of the step's result
     */
    private abstract class Callback<T> implements ClientCallback<T> {
        @Override
        public void failed(IOException e) {
            fail(String.valueOf(e.getMessage()));
        }
    }
}
