package io.hornbeamscale.standin;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.xnio.IoUtils;

/**
 * Handles requests and injects the armed faults, in this order: refuse, delay the request, stall, execute, lose,
 * truncate, swap or delay the response.
 */
final class FaultInjectingHandler {
    /** The time after which a response that waits to be swapped is sent unswapped. */
    private static final long SWAP_TIMEOUT_MILLIS = 2_000;

    private final FaultInjector faults;
    private HeldResponse heldResponse;

    FaultInjectingHandler(FaultInjector faults) {
        this.faults = faults;
    }

    /** Executes a request and sends the response. */
    void run(HttpServerExchange exchange, Function<String, StandInResponse> operation) {
        run(exchange, 0, operation);
    }

    /** Executes a request at once and sends the response after the work time. */
    void run(HttpServerExchange exchange, long workMillis, Function<String, StandInResponse> operation) {
        receive(exchange, body -> executeAndRespond(exchange, workMillis, () -> operation.apply(body)));
    }

    /** Passes a request to a handler that sends its own response; only faults before the execution are injected. */
    void runWithOwnResponse(HttpServerExchange exchange, Consumer<String> handler) {
        receive(exchange, handler);
    }

    private void receive(HttpServerExchange exchange, Consumer<String> next) {
        Optional<StandInFault.Refuse> refuse = faults.consume(StandInFault.Refuse.class);
        exchange.getRequestReceiver()
                .receiveFullString((ex, body) -> ex.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    if (refuse.isPresent()) {
                        send(ex, StandInResponse.refusal(refuse.get().status()));
                        return;
                    }
                    long pause = faults.consume(StandInFault.DelayRequest.class)
                            .map(StandInFault.DelayRequest::millis)
                            .orElse(0L);
                    runAfter(ex, pause, () -> next.accept(body));
                }));
    }

    private void executeAndRespond(HttpServerExchange exchange, long workMillis, Supplier<StandInResponse> operation) {
        if (faults.consume(StandInFault.Stall.class).isPresent()) {
            return;
        }
        StandInResponse response = responseOf(operation);
        runAfter(exchange, workMillis, () -> deliver(exchange, response));
    }

    private static StandInResponse responseOf(Supplier<StandInResponse> operation) {
        try {
            return operation.get();
        } catch (RuntimeException e) {
            return StandInResponse.error(400, String.valueOf(e.getMessage()));
        }
    }

    /** Sends the response to an executed request and injects the faults that follow the execution. */
    void deliver(HttpServerExchange exchange, StandInResponse response) {
        if (faults.consume(StandInFault.LoseResponse.class).isPresent()) {
            closeConnection(exchange);
            return;
        }
        if (faults.consume(StandInFault.CloseMidResponse.class).isPresent()) {
            sendHalf(exchange, response);
            return;
        }
        if (faults.consume(StandInFault.SwapResponses.class).isPresent()) {
            swap(exchange, response);
            return;
        }
        long delay = faults.consume(StandInFault.DelayResponse.class)
                .map(StandInFault.DelayResponse::millis)
                .orElse(0L);
        runAfter(exchange, delay, () -> send(exchange, response));
    }

    private synchronized void swap(HttpServerExchange exchange, StandInResponse response) {
        if (heldResponse == null) {
            HeldResponse held = new HeldResponse(exchange, response);
            heldResponse = held;
            runAfter(exchange, SWAP_TIMEOUT_MILLIS, () -> releaseHeld(held));
            return;
        }
        HeldResponse other = heldResponse;
        heldResponse = null;
        runAfter(other.exchange(), 0, () -> send(other.exchange(), response));
        runAfter(exchange, 0, () -> send(exchange, other.response()));
    }

    private synchronized void releaseHeld(HeldResponse held) {
        if (held.equals(heldResponse)) {
            heldResponse = null;
            send(held.exchange(), held.response());
        }
    }

    static void runAfter(HttpServerExchange exchange, long millis, Runnable task) {
        if (millis <= 0) {
            exchange.getIoThread().execute(task);
            return;
        }
        exchange.getIoThread().executeAfter(task, millis, TimeUnit.MILLISECONDS);
    }

    static void send(HttpServerExchange exchange, StandInResponse response) {
        setStatusAndHeaders(exchange, response);
        exchange.getResponseSender().send(response.body(), IoCallback.END_EXCHANGE);
    }

    private static void sendHalf(HttpServerExchange exchange, StandInResponse response) {
        setStatusAndHeaders(exchange, response);
        byte[] whole = response.body().getBytes(StandardCharsets.UTF_8);
        exchange.setResponseContentLength(whole.length);
        byte[] half = Arrays.copyOf(whole, whole.length / 2);
        exchange.getResponseSender().send(ByteBuffer.wrap(half), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange ex, Sender sender) {
                closeConnection(ex);
            }

            @Override
            public void onException(HttpServerExchange ex, Sender sender, IOException e) {
                closeConnection(ex);
            }
        });
    }

    private static void setStatusAndHeaders(HttpServerExchange exchange, StandInResponse response) {
        exchange.setStatusCode(response.status());
        response.headers()
                .forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
    }

    static void closeConnection(HttpServerExchange exchange) {
        IoUtils.safeClose(exchange.getConnection());
    }

    static String requestHeader(HttpServerExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    static String queryParameter(HttpServerExchange exchange, String name, String fallback) {
        var values = exchange.getQueryParameters().get(name);
        return values == null || values.isEmpty() ? fallback : values.getFirst();
    }

    private record HeldResponse(HttpServerExchange exchange, StandInResponse response) {}
}
