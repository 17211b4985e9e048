package io.hornbeamscale.gateway;

import io.undertow.client.ClientConnection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.xnio.IoUtils;

/**
 * A connection to a server, with the time span in which it may be reused and the ids of the requests that were sent
 * on it. A server may send a response once more, late. Its id tells it from the responses to other requests, but not
 * from the response to a later send of the same request, so a connection carries each id only once.
 */
final class PooledConnection {
    /** The greatest number of requests on one connection, which bounds the memory for their ids. */
    private static final int MAX_REQUESTS = 100;

    private final ClientConnection connection;
    private final ServerChannel channel;
    private final Set<String> sentIds = new HashSet<>();
    private long idleSinceMillis;
    private long expiresAtMillis;

    PooledConnection(ClientConnection connection, ServerChannel channel) {
        this.connection = connection;
        this.channel = channel;
    }

    ServerChannel channel() {
        return channel;
    }

    ClientConnection connection() {
        return connection;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    /** Records that a request is sent; the id is empty for calls that are not made for a caller's request. */
    void recordSend(Optional<String> requestId) {
        requestId.ifPresent(sentIds::add);
    }

    /** Returns whether a request with this id was sent before. */
    boolean hasSent(Optional<String> requestId) {
        return requestId.map(sentIds::contains).orElse(false);
    }

    /** Returns whether the connection takes no further requests. */
    boolean isExhausted() {
        return sentIds.size() >= MAX_REQUESTS;
    }

    void setIdle(long sinceMillis, long untilMillis) {
        idleSinceMillis = sinceMillis;
        expiresAtMillis = untilMillis;
    }

    long idleSinceMillis() {
        return idleSinceMillis;
    }

    long expiresAtMillis() {
        return expiresAtMillis;
    }

    /** Closes an idle connection. */
    void close() {
        IoUtils.safeClose(connection);
    }

    /** Closes the connection during an exchange, so that the server stops working on the request at once. */
    void abort() {
        ConnectionAbort.abort(connection);
    }
}
