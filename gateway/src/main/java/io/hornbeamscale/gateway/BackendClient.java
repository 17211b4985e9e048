package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.util.Arguments;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;

/**
 * Sends HTTP requests to many servers and keeps connections for reuse. All of its methods and listeners run on one I/O
 * thread.
 */
public final class BackendClient {
    /**
     * How long a connection may have been idle when a request that must not be repeated is sent on it, in milliseconds.
     * A server that closes an idle connection at that moment would leave open whether the request ran.
     */
    private static final long FRESH_MILLIS = 1_500;

    /** How long a connection is kept if the server does not say, in milliseconds. */
    private static final long DEFAULT_IDLE_MILLIS = 4_000;

    /**
     * How long before the server's own limit a connection is given up, in milliseconds; covers one way between
     * regions.
     */
    private static final long IDLE_MARGIN_MILLIS = 500;

    /** The connections kept for one server; more are closed after their response. */
    private static final int MAX_IDLE = 24;

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final Map<Endpoint, Deque<PooledConnection>> idle = new HashMap<>();
    private long opened;

    /**
     * Creates a client without connections.
     *
     * @param thread the I/O thread, not null
     * @param buffers the buffers, not null
     */
    public BackendClient(XnioIoThread thread, ByteBufferPool buffers) {
        this.thread = Arguments.notNull(thread, "thread");
        this.buffers = Arguments.notNull(buffers, "buffers");
    }

    /**
     * Sends a request.
     *
     * @param to the address of the server, not null
     * @param request the request, not null
     * @param listener hears of the response, not null
     * @param nowMillis the present time
     * @return the exchange, never null
     */
    public BackendExchange send(Endpoint to, Request request, BackendExchange.Listener listener, long nowMillis) {
        BackendExchange exchange = new BackendExchange(this, to, request, listener);
        PooledConnection connection = takeIdle(to, request.mayRepeat(), nowMillis);
        if (connection != null) {
            exchange.sendOn(connection);
        } else {
            opened++;
            exchange.connect();
        }
        return exchange;
    }

    /**
     * Finds out whether a server accepts connections.
     *
     * @param to the address of the server, not null
     * @param limitMillis how long it may take, in milliseconds
     * @param done hears once whether a connection was opened, not null
     */
    public void probe(Endpoint to, long limitMillis, Consumer<Boolean> done) {
        opened++;
        new ConnectProbe(this, to, limitMillis, done).begin();
    }

    /**
     * Closes the connections to a server that are not in use.
     *
     * @param server the address of the server, not null
     */
    public void forget(Endpoint server) {
        Deque<PooledConnection> connections = idle.remove(server);
        if (connections != null) {
            connections.forEach(PooledConnection::close);
        }
    }

    /**
     * Closes connections that have been idle for long.
     *
     * @param nowMillis the present time
     */
    public void sweep(long nowMillis) {
        for (Deque<PooledConnection> connections : idle.values()) {
            connections.removeIf(c -> {
                boolean isOld = !c.isOpen() || nowMillis >= c.expiresAtMillis();
                if (isOld) {
                    c.close();
                }
                return isOld;
            });
        }
        idle.values().removeIf(Deque::isEmpty);
    }

    /**
     * Returns how many connections were opened.
     *
     * @return the number since the start
     */
    public long opened() {
        return opened;
    }

    XnioIoThread thread() {
        return thread;
    }

    ByteBufferPool buffers() {
        return buffers;
    }

    /** Keeps a connection whose response is complete, from the next turn of the I/O thread on. */
    void release(Endpoint to, PooledConnection connection, long serverIdleMillis, long nowMillis) {
        long limit = serverIdleMillis > 0 ? serverIdleMillis - IDLE_MARGIN_MILLIS : DEFAULT_IDLE_MILLIS;
        if (limit <= 0) {
            connection.close();
            return;
        }
        connection.setIdle(nowMillis, nowMillis + limit);
        // Bytes behind the response arrive with it at times; they close the connection in this turn.
        try {
            thread.execute(() -> keep(to, connection));
        } catch (RejectedExecutionException e) {
            // The process ends.
            connection.close();
        }
    }

    private void keep(Endpoint to, PooledConnection connection) {
        Deque<PooledConnection> connections = idle.computeIfAbsent(to, k -> new ArrayDeque<>());
        if (connection.isOpen() && connections.size() < MAX_IDLE) {
            connections.addLast(connection);
        } else {
            connection.close();
        }
    }

    private PooledConnection takeIdle(Endpoint to, boolean mayRepeat, long nowMillis) {
        Deque<PooledConnection> connections = idle.get(to);
        if (connections == null) {
            return null;
        }
        for (PooledConnection c = connections.peekLast(); c != null; c = connections.peekLast()) {
            if (!c.isOpen() || nowMillis >= c.expiresAtMillis()) {
                connections.pollLast();
                c.close();
                continue;
            }
            boolean isFresh = nowMillis - c.idleSinceMillis() <= FRESH_MILLIS;
            return mayRepeat || isFresh ? connections.pollLast() : null;
        }
        return null;
    }

    /**
     * A request to a server.
     *
     * @param method the HTTP method
     * @param target the path with its query
     * @param headers the headers, without a length
     * @param body the body, empty for none
     * @param hasLength whether the length of the body is sent although it is empty
     * @param mayRepeat whether the request may be sent again if its outcome is unknown
     * @param connectMillis how long opening a connection may take, in milliseconds
     */
    public record Request(
            String method,
            String target,
            HeaderMap headers,
            ByteBuffer body,
            boolean hasLength,
            boolean mayRepeat,
            long connectMillis) {}
}
