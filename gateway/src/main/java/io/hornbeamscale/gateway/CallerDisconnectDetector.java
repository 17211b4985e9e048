package io.hornbeamscale.gateway;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a caller closes its connection while it waits for a response. Undertow does not read from the connection
 * during an exchange.
 */
public final class CallerDisconnectDetector {
    private CallerDisconnectDetector() {}

    /**
     * Watches the connection of an exchange whose request was read in full. Runs on the I/O thread.
     *
     * @param exchange the exchange, not null
     */
    public static void start(HttpServerExchange exchange) {
        if (exchange.getConnection() instanceof HttpServerConnection connection && connection.getExtraBytes() == null) {
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            // The conduit of a request body that was read to its end ignores resumeReads.
            source.setConduit(connection.getOriginalSourceConduit());
            source.setReadListener(channel -> readable(connection, channel));
            source.resumeReads();
        }
    }

    private static void readable(HttpServerConnection connection, ConduitStreamSourceChannel source) {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean isKept = false;
        try {
            int count = connection.getOriginalSourceConduit().read(pooled.getBuffer());
            if (count < 0) {
                IoUtils.safeClose(connection);
            } else if (count > 0) {
                // These bytes belong to a pipelined request, which Undertow parses after this exchange.
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                isKept = true;
                source.suspendReads();
            }
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        } finally {
            if (!isKept) {
                pooled.close();
            }
        }
    }
}
