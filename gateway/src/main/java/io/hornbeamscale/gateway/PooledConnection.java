package io.hornbeamscale.gateway;

import io.undertow.client.ClientConnection;
import java.io.IOException;
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

    /** Closes an idle connection and lets the server close its side. */
    void close() {
        IoUtils.safeClose(connection);
    }

    /**
     * Closes the connection in the middle of an exchange, so that the server stops its work at once. Closing the
     * client's connection is not enough: it sends no end of stream during an exchange and goes on reading the response
     * for up to 10 s.
     */
    void abort() {
        try {
            // Hands out the connection below the HTTP protocol.
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }
}
