package io.hornbeamscale.daemon;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Detects the end of a caller's connection. All exchanges of a connection share one close listener, since Undertow
 * keeps close listeners until the connection ends; a listener for each exchange would accumulate.
 */
final class CallerConnectionListener {
    private static final AttachmentKey<CallerConnectionListener> KEY =
            AttachmentKey.create(CallerConnectionListener.class);

    private final AtomicReference<Runnable> onConnectionEnd = new AtomicReference<>();

    private CallerConnectionListener() {}

    /**
     * Runs exactly one of two tasks: one when the exchange completes, or the other if its connection ends before.
     *
     * @param exchange the exchange
     * @param onCompleted runs if the exchange completes
     * @param onDisconnected runs if the connection ends before the exchange completes
     */
    static void watch(HttpServerExchange exchange, Runnable onCompleted, Runnable onDisconnected) {
        AtomicReference<Runnable> onConnectionEnd = of(exchange.getConnection()).onConnectionEnd;
        onConnectionEnd.set(onDisconnected);
        exchange.addExchangeCompleteListener((ended, next) -> {
            if (onConnectionEnd.compareAndSet(onDisconnected, null)) {
                onCompleted.run();
            }
            next.proceed();
        });
    }

    private static CallerConnectionListener of(ServerConnection connection) {
        CallerConnectionListener existing = connection.getAttachment(KEY);
        if (existing == null) {
            CallerConnectionListener added = new CallerConnectionListener();
            connection.putAttachment(KEY, added);
            connection.addCloseListener(closed -> added.connectionEnded());
            return added;
        }
        return existing;
    }

    private void connectionEnded() {
        Runnable task = onConnectionEnd.getAndSet(null);
        if (task != null) {
            task.run();
        }
    }
}
