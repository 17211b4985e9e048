package io.hornbeamscale.daemon;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Detects that a caller closes its connection before it has the whole response. All exchanges of a connection share one
 * close listener, since Undertow keeps close listeners until the connection ends; a listener for each exchange would
 * accumulate.
 */
final class CallerConnectionListener {
    private static final AttachmentKey<CallerConnectionListener> KEY =
            AttachmentKey.create(CallerConnectionListener.class);

    private final AtomicReference<Runnable> onConnectionEnd = new AtomicReference<>();

    private CallerConnectionListener() {}

    /**
     * Runs exactly one of two tasks: one when the response has been sent, or the other if the connection ends before.
     * The HTTP server completes the exchange of a connection that ends before it notifies of the end, so completion
     * alone does not tell that the caller has the response.
     *
     * @param exchange the exchange
     * @param response the response to the caller
     * @param onCompleted runs if the response has been sent
     * @param onDisconnected runs if the connection ends before
     */
    static void watch(
            HttpServerExchange exchange, CallerExchange response, Runnable onCompleted, Runnable onDisconnected) {
        AtomicReference<Runnable> onConnectionEnd = of(exchange.getConnection()).onConnectionEnd;
        onConnectionEnd.set(onDisconnected);
        exchange.addExchangeCompleteListener((ended, next) -> {
            if (onConnectionEnd.compareAndSet(onDisconnected, null)) {
                (response.isSent() ? onCompleted : onDisconnected).run();
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
