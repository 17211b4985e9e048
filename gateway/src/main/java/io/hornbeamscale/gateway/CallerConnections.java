package io.hornbeamscale.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.xnio.IoUtils;

/**
 * Closes the connections of callers that stay without a request for longer than the document allows. A request that is
 * on its way when its connection is closed was not read, so its caller may send it again. Runs on the traffic thread.
 */
final class CallerConnections {
    /** How much longer than allowed a connection is kept, in milliseconds; covers the caller's clock and its way. */
    private static final long SLACK_MILLIS = 300;

    private static final long BUSY = Long.MAX_VALUE;

    /** When each connection became idle, {@link #BUSY} while it has a request. */
    private final Map<ServerConnection, Long> idleSince = new HashMap<>();

    /** Notes that a request has begun. */
    void began(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (idleSince.put(connection, BUSY) == null) {
            connection.addCloseListener(idleSince::remove);
        }
        exchange.addExchangeCompleteListener((ended, next) -> {
            idleSince.computeIfPresent(connection, (c, since) -> ControlLoop.now());
            next.proceed();
        });
    }

    /** Closes connections that were idle for too long. */
    void sweep(long idleMillis, long nowMillis) {
        List<ServerConnection> old = new ArrayList<>();
        idleSince.forEach((connection, since) -> {
            if (since != BUSY && nowMillis - since > idleMillis + SLACK_MILLIS) {
                old.add(connection);
            }
        });
        old.forEach(IoUtils::safeClose);
    }
}
