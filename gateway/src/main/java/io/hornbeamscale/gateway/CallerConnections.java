package io.hornbeamscale.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.xnio.IoUtils;

/**
 * Closes callers' connections that have no request for longer than the document allows. A request that is in transit
 * when its connection is closed has not been read, so the caller may send it again. Runs on the traffic thread.
 */
final class CallerIdleTimeout {
    /**
     * How much longer than allowed a connection is kept, in milliseconds; covers the caller's clock and the network
     * delay.
     */
    private static final long SLACK_MILLIS = 300;

    private static final long IN_USE = Long.MAX_VALUE;

    /** When each connection became idle, in milliseconds, {@link #IN_USE} while it has a request. */
    private final Map<ServerConnection, Long> idleSinceMillis = new HashMap<>();

    /** Marks a connection as in use until its request ends. */
    void requestStarted(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (idleSinceMillis.put(connection, IN_USE) == null) {
            connection.addCloseListener(idleSinceMillis::remove);
        }
        exchange.addExchangeCompleteListener((ended, next) -> {
            idleSinceMillis.computeIfPresent(connection, (c, since) -> ControlLoop.now());
            next.proceed();
        });
    }

    /** Returns the number of connections with a request whose response has not been written completely. */
    int connectionsInUse() {
        return (int) idleSinceMillis.values().stream()
                .filter(since -> since == IN_USE)
                .count();
    }

    /** Closes the connections that were idle for longer than the limit. */
    void closeIdle(long idleTimeoutMillis, long nowMillis) {
        List<ServerConnection> expired = new ArrayList<>();
        idleSinceMillis.forEach((connection, since) -> {
            if (since != IN_USE && nowMillis - since > idleTimeoutMillis + SLACK_MILLIS) {
                expired.add(connection);
            }
        });
        expired.forEach(IoUtils::safeClose);
    }
}
