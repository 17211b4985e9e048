package io.hornbeamscale.gateway;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import org.xnio.IoUtils;

/** A connection to a server, with the time span in which it may be reused. */
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

    /** Closes an idle connection. */
    void close() {
        IoUtils.safeClose(connection);
    }

    /**
     * Closes the connection during an exchange, so that the server stops working on the request at once. Closing the
     * {@link ClientConnection} is not enough: during an exchange, it sends no end of stream and continues to read the
     * response for up to 10 s.
     */
    void abort() {
        try {
            // Returns the connection below the HTTP protocol.
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }
}
