package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.util.Arguments;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;

/**
 * Sends HTTP requests to backend servers and keeps connections for reuse. All methods and listeners run on one I/O
 * thread.
 */
public final class BackendClient {
    /**
     * The longest time that a connection may have been idle if a request that must not be repeated is sent on it, in
     * milliseconds. If the server closed the idle connection at that moment, it would be unknown whether the request
     * ran.
     */
    private static final long MAX_IDLE_MILLIS_WITHOUT_REPEAT = 1_500;

    /** How long an idle connection is kept if the server does not state its own limit, in milliseconds. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 4_000;

    /**
     * How long before the server's own limit an idle connection is closed, in milliseconds; covers the one-way delay
     * between regions.
     */
    private static final long IDLE_TIMEOUT_MARGIN_MILLIS = 500;

    /** The greatest number of idle connections per server; further ones are closed after their response. */
    private static final int MAX_IDLE_CONNECTIONS = 24;

    private final XnioIoThread thread;
    private final ServerConnector connector;
    private final ByteBufferPool buffers;
    private final Map<Endpoint, Deque<PooledConnection>> idle = new HashMap<>();
    private long openedConnections;

    /**
     * Creates a client without connections.
     *
     * @param thread the I/O thread, not null
     * @param buffers the buffers, not null
     */
    public BackendClient(XnioIoThread thread, ByteBufferPool buffers) {
        this.thread = Arguments.notNull(thread, "thread");
        this.connector = new ServerConnector(thread);
        this.buffers = Arguments.notNull(buffers, "buffers");
    }

    /**
     * Sends a request.
     *
     * @param to the address of the server, not null
     * @param request the request, not null
     * @param listener receives the response, not null
     * @param nowMillis the current time, in milliseconds
     * @return the exchange, never null
     */
    public BackendExchange send(Endpoint to, Request request, BackendExchange.Listener listener, long nowMillis) {
        BackendExchange exchange = new BackendExchange(this, to, request, listener);
        PooledConnection connection = takeIdle(to, request, nowMillis);
        if (connection != null) {
            exchange.sendOn(connection);
        } else {
            openedConnections++;
            exchange.connect();
        }
        return exchange;
    }

    /**
     * Checks whether a server accepts connections.
     *
     * @param to the address of the server, not null
     * @param timeoutMillis the time limit, in milliseconds
     * @param done receives once whether a connection was opened, not null
     */
    public void probe(Endpoint to, long timeoutMillis, Consumer<Boolean> done) {
        openedConnections++;
        new ConnectProbe(this, to, timeoutMillis, done).begin();
    }

    /**
     * Closes the idle connections to a server.
     *
     * @param server the address of the server, not null
     */
    public void closeIdleConnections(Endpoint server) {
        Deque<PooledConnection> connections = idle.remove(server);
        if (connections != null) {
            connections.forEach(PooledConnection::close);
        }
    }

    /**
     * Closes the connections whose idle time has expired.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void closeExpiredConnections(long nowMillis) {
        for (Deque<PooledConnection> connections : idle.values()) {
            connections.removeIf(c -> {
                boolean isExpired = !c.isOpen() || nowMillis >= c.expiresAtMillis();
                if (isExpired) {
                    c.close();
                }
                return isExpired;
            });
        }
        idle.values().removeIf(Deque::isEmpty);
    }

    /**
     * Returns the number of connections that were opened, including probes.
     *
     * @return the number since the start
     */
    public long openedConnections() {
        return openedConnections;
    }

    XnioIoThread thread() {
        return thread;
    }

    ServerConnector connector() {
        return connector;
    }

    ByteBufferPool buffers() {
        return buffers;
    }

    /** Returns a connection to the pool after a complete response, in the next iteration of the I/O thread. */
    void release(Endpoint to, PooledConnection connection, long serverIdleMillis, long nowMillis) {
        long limit = serverIdleMillis > 0 ? serverIdleMillis - IDLE_TIMEOUT_MARGIN_MILLIS : DEFAULT_IDLE_TIMEOUT_MILLIS;
        if (limit <= 0) {
            connection.close();
            return;
        }
        connection.setIdle(nowMillis, nowMillis + limit);
        // Extra bytes after the response may arrive together with it; they close the connection in this iteration.
        try {
            thread.execute(() -> keep(to, connection));
        } catch (RejectedExecutionException e) {
            // The process is shutting down.
            connection.close();
        }
    }

    private void keep(Endpoint to, PooledConnection connection) {
        Deque<PooledConnection> connections = idle.computeIfAbsent(to, k -> new ArrayDeque<>());
        if (connection.isOpen() && connections.size() < MAX_IDLE_CONNECTIONS) {
            connections.addLast(connection);
        } else {
            connection.close();
        }
    }

    private PooledConnection takeIdle(Endpoint to, Request request, long nowMillis) {
        Deque<PooledConnection> connections = idle.get(to);
        if (connections == null || request.reuse() == Reuse.NONE) {
            return null;
        }
        for (Iterator<PooledConnection> newest = connections.descendingIterator(); newest.hasNext(); ) {
            PooledConnection c = newest.next();
            if (!c.isOpen() || nowMillis >= c.expiresAtMillis()) {
                newest.remove();
                c.close();
                continue;
            }
            boolean isRecentlyUsed = nowMillis - c.idleSinceMillis() <= MAX_IDLE_MILLIS_WITHOUT_REPEAT;
            if (request.reuse() == Reuse.RECENTLY_USED && !isRecentlyUsed) {
                return null;
            }
            if (!c.hasSent(request.requestId())) {
                newest.remove();
                return c;
            }
        }
        return null;
    }

    /** Which connections a request may share with earlier and later requests. */
    public enum Reuse {
        /** Any kept connection: the request may be sent again if its outcome is unknown. */
        ANY,
        /** Only one that was used a short while ago, as the server may close an idle one at any moment. */
        RECENTLY_USED,
        /**
         * A connection of its own, since nothing tells the response from one that the server sends late or twice.
         */
        NONE;

        /**
         * Returns the policy for a caller's request.
         *
         * @param requestId the id that the server repeats in its response, empty if the request has none
         * @param mayRepeat whether the request may be sent again if its outcome is unknown
         * @return the policy, never null
         */
        static Reuse of(Optional<String> requestId, boolean mayRepeat) {
            if (requestId.isEmpty()) {
                return NONE;
            }
            return mayRepeat ? ANY : RECENTLY_USED;
        }
    }

    /**
     * A request to a server.
     *
     * @param method the HTTP method
     * @param target the path with its query
     * @param headers the headers without the content length
     * @param body the body, empty for none
     * @param hasLength whether the length of the body is sent even if it is empty
     * @param requestId the id of the caller's request, empty for other calls; no connection carries an id twice
     * @param reuse which connections the request may share
     * @param connectTimeoutMillis how long opening a connection may take, in milliseconds
     */
    public record Request(
            String method,
            String target,
            HeaderMap headers,
            ByteBuffer body,
            boolean hasLength,
            Optional<String> requestId,
            Reuse reuse,
            long connectTimeoutMillis) {}
}
