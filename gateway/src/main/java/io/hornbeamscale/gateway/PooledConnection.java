package io.hornbeamscale.gateway;

import io.undertow.client.ClientConnection;
import org.xnio.IoUtils;

/** A connection to a server, with the span in which it may be reused. */
final class PooledConnection {
    private final ClientConnection connection;
    private long idleSinceMillis;
    private long expiresAtMillis;

    PooledConnection(ClientConnection connection) {
        this.connection = connection;
    }

    ClientConnection connection() {
        return connection;
    }

    boolean isOpen() {
        return connection.isOpen();
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

    void close() {
        IoUtils.safeClose(connection);
    }
}
