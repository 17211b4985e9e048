package io.hornbeamscale.daemon;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Notices the end of a caller's connection. One listener serves all exchanges of a connection, since Undertow keeps
 * close listeners until the connection ends.
 */
final class CallerConnection {
    private static final AttachmentKey<CallerConnection> KEY = AttachmentKey.create(CallerConnection.class);

    private final AtomicReference<Runnable> current = new AtomicReference<>();

    private CallerConnection() {}

    /**
     * Runs a task once: when the exchange completes or when its connection ends, whichever is first.
     *
     * @param exchange the exchange
     * @param completed runs if the exchange completes
     * @param gone runs if the connection ends before
     */
    static void watch(HttpServerExchange exchange, Runnable completed, Runnable gone) {
        AtomicReference<Runnable> current = of(exchange.getConnection()).current;
        current.set(gone);
        exchange.addExchangeCompleteListener((ended, next) -> {
            if (current.compareAndSet(gone, null)) {
                completed.run();
            }
            next.proceed();
        });
    }

    private static CallerConnection of(ServerConnection connection) {
        CallerConnection known = connection.getAttachment(KEY);
        if (known == null) {
            CallerConnection added = new CallerConnection();
            connection.putAttachment(KEY, added);
            connection.addCloseListener(closed -> added.ended());
            return added;
        }
        return known;
    }

    private void ended() {
        Runnable gone = current.getAndSet(null);
        if (gone != null) {
            gone.run();
        }
    }
}
