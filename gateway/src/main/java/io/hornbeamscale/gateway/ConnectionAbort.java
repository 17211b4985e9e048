package io.hornbeamscale.gateway;

import io.hornbeamscale.core.util.Arguments;
import io.undertow.client.ClientConnection;
import java.io.IOException;
import org.xnio.IoUtils;

/** Closes the connection to a server while it works on a request. */
public final class ConnectionAbort {
    private ConnectionAbort() {}

    /**
     * Closes a connection at once, so that the server learns that nobody waits for its response. Closing the {@link
     * ClientConnection} is not enough: during an exchange, it sends no end of stream and continues to read the
     * response. Must be called on the I/O thread of the connection.
     *
     * @param connection the connection, not null
     */
    public static void abort(ClientConnection connection) {
        Arguments.notNull(connection, "connection");
        try {
            // Returns the connection below the HTTP protocol.
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }
}
