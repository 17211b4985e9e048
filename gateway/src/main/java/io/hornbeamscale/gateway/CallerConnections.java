package io.hornbeamscale.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.xnio.IoUtils;

/**
 * The open connections of callers: closes those that have no request for longer than the document allows, and notifies
 * the request in progress if its caller closes the connection. A request that is in transit when its connection is
 * closed has not been read, so the caller may send it again. Runs on the traffic thread.
 */
final class CallerConnections {
    /**
     * How much longer than allowed a connection is kept, in milliseconds; covers the caller's clock and the network
     * delay.
     */
    private static final long SLACK_MILLIS = 300;

    private static final long IN_USE = Long.MAX_VALUE;

    /** When each connection became idle, in milliseconds, {@link #IN_USE} while it has a request. */
    private final Map<ServerConnection, Long> idleSinceMillis = new HashMap<>();

    private final Map<ServerConnection, Relay> relays = new HashMap<>();

    /** Marks a connection as in use until its request ends. */
    void requestStarted(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        // A close listener stays until the connection closes, so there is one per connection and not per request.
        if (idleSinceMillis.put(connection, IN_USE) == null) {
            connection.addCloseListener(this::closed);
        }
        exchange.addExchangeCompleteListener((ended, next) -> {
            relays.remove(connection);
            idleSinceMillis.computeIfPresent(connection, (c, since) -> ControlLoop.now());
            next.proceed();
        });
    }

    /**
     * Sets the relay that is notified if the caller closes the connection before its response is complete.
     *
     * @return whether the connection is open; if not, the relay must not begin
     */
    boolean setRelay(HttpServerExchange exchange, Relay relay) {
        if (!idleSinceMillis.containsKey(exchange.getConnection())) {
            return false;
        }
        relays.put(exchange.getConnection(), relay);
        return true;
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

    private void closed(ServerConnection connection) {
        idleSinceMillis.remove(connection);
        Relay relay = relays.remove(connection);
        if (relay != null) {
            relay.callerDisconnected();
        }
    }
}
