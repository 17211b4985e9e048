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

/** Runs requests through the fault switch: refuse, stall, slow, take effect, lose, delay, swap, answer. */
final class FaultFlow {
    /** An unmatched answer that waits to be swapped is delivered after this time. */
    private static final long SWAP_WAIT_MILLIS = 2_000;

    private final FaultInjector faults;
    private Held held;

    FaultFlow(FaultInjector faults) {
        this.faults = faults;
    }

    /** Runs a request whose effect gives a whole answer. */
    void run(HttpServerExchange exchange, Function<String, Answer> effect) {
        run(exchange, 0, effect);
    }

    /** Runs a request that takes effect at once and is answered after its work time. */
    void run(HttpServerExchange exchange, long workMillis, Function<String, Answer> effect) {
        receive(exchange, body -> effectThenAnswer(exchange, workMillis, () -> effect.apply(body)));
    }

    /** Runs a request whose handler answers by itself; only the faults before the effect apply. */
    void runRaw(HttpServerExchange exchange, Consumer<String> handler) {
        receive(exchange, handler);
    }

    private void receive(HttpServerExchange exchange, Consumer<String> next) {
        Optional<StandInFault.Refuse> refuse = faults.take(StandInFault.Refuse.class);
        exchange.getRequestReceiver()
                .receiveFullString((ex, body) -> ex.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    if (refuse.isPresent()) {
                        send(ex, Answer.error(refuse.get().status(), "refused"));
                        return;
                    }
                    long pause = faults.take(StandInFault.DelayRequest.class)
                            .map(StandInFault.DelayRequest::millis)
                            .orElse(0L);
                    after(ex, pause, () -> next.accept(body));
                }));
    }

    private void effectThenAnswer(HttpServerExchange exchange, long workMillis, Supplier<Answer> effect) {
        if (faults.take(StandInFault.Stall.class).isPresent()) {
            return;
        }
        Answer answer = answerOf(effect);
        after(exchange, workMillis, () -> deliver(exchange, answer));
    }

    private static Answer answerOf(Supplier<Answer> effect) {
        try {
            return effect.get();
        } catch (RuntimeException e) {
            return Answer.error(400, String.valueOf(e.getMessage()));
        }
    }

    /** Answers after an effect, through the faults that follow an effect. */
    void deliver(HttpServerExchange exchange, Answer answer) {
        if (faults.take(StandInFault.LoseResponse.class).isPresent()) {
            drop(exchange);
            return;
        }
        if (faults.take(StandInFault.CloseMidResponse.class).isPresent()) {
            sendHalf(exchange, answer);
            return;
        }
        if (faults.take(StandInFault.SwapResponses.class).isPresent()) {
            swap(exchange, answer);
            return;
        }
        long delay = faults.take(StandInFault.DelayResponse.class)
                .map(StandInFault.DelayResponse::millis)
                .orElse(0L);
        after(exchange, delay, () -> send(exchange, answer));
    }

    private synchronized void swap(HttpServerExchange exchange, Answer answer) {
        if (held == null) {
            Held mine = new Held(exchange, answer);
            held = mine;
            after(exchange, SWAP_WAIT_MILLIS, () -> releaseHeld(mine));
            return;
        }
        Held other = held;
        held = null;
        after(other.exchange(), 0, () -> send(other.exchange(), answer));
        after(exchange, 0, () -> send(exchange, other.answer()));
    }

    private synchronized void releaseHeld(Held mine) {
        if (mine.equals(held)) {
            held = null;
            send(mine.exchange(), mine.answer());
        }
    }

    static void after(HttpServerExchange exchange, long millis, Runnable task) {
        if (millis <= 0) {
            exchange.getIoThread().execute(task);
            return;
        }
        exchange.getIoThread().executeAfter(task, millis, TimeUnit.MILLISECONDS);
    }

    static void send(HttpServerExchange exchange, Answer answer) {
        head(exchange, answer);
        exchange.getResponseSender().send(answer.body(), IoCallback.END_EXCHANGE);
    }

    private static void sendHalf(HttpServerExchange exchange, Answer answer) {
        head(exchange, answer);
        byte[] whole = answer.body().getBytes(StandardCharsets.UTF_8);
        exchange.setResponseContentLength(whole.length);
        byte[] half = Arrays.copyOf(whole, whole.length / 2);
        exchange.getResponseSender().send(ByteBuffer.wrap(half), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange ex, Sender sender) {
                drop(ex);
            }

            @Override
            public void onException(HttpServerExchange ex, Sender sender, IOException e) {
                drop(ex);
            }
        });
    }

    private static void head(HttpServerExchange exchange, Answer answer) {
        exchange.setStatusCode(answer.status());
        answer.headers().forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
    }

    static void drop(HttpServerExchange exchange) {
        IoUtils.safeClose(exchange.getConnection());
    }

    static String header(HttpServerExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    static String query(HttpServerExchange exchange, String name, String fallback) {
        var values = exchange.getQueryParameters().get(name);
        return values == null || values.isEmpty() ? fallback : values.getFirst();
    }

    private record Held(HttpServerExchange exchange, Answer answer) {}
}
