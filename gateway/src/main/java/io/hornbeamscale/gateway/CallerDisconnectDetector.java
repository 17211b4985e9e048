package io.hornbeamscale.gateway;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.ImmediatePooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a caller closes its connection while it waits for a response. Undertow does not read from the connection
 * during an exchange.
 */
public final class CallerDisconnectDetector {
    /**
     * How much of the requests that a caller sends before it has the response is read, in bytes. A caller that sends
     * more is not detected to leave; reading without a limit would fill the memory.
     */
    private static final int MAX_PIPELINED_BYTES = 16 * 1_024;

    private CallerDisconnectDetector() {}

    /**
     * Watches the connection of an exchange whose request was read in full. Runs on the I/O thread.
     *
     * @param exchange the exchange, not null
     */
    public static void start(HttpServerExchange exchange) {
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            // The conduit of a request body that was read to its end ignores resumeReads.
            source.setConduit(connection.getOriginalSourceConduit());
            source.setReadListener(channel -> readable(connection, channel));
            source.resumeReads();
        }
    }

    private static void readable(HttpServerConnection connection, ConduitStreamSourceChannel source) {
        int room = MAX_PIPELINED_BYTES - pipelinedBytes(connection);
        if (room <= 0) {
            source.suspendReads();
            return;
        }
        try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            buffer.limit(Math.min(buffer.limit(), room));
            int count = connection.getOriginalSourceConduit().read(buffer);
            if (count < 0) {
                IoUtils.safeClose(connection);
            } else if (count > 0) {
                keep(connection, buffer.flip());
            }
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }

    /** Keeps bytes of a pipelined request, which Undertow parses after this exchange. */
    private static void keep(HttpServerConnection connection, ByteBuffer received) {
        ByteBuffer all = ByteBuffer.allocate(pipelinedBytes(connection) + received.remaining());
        PooledByteBuffer earlier = connection.getExtraBytes();
        if (earlier != null) {
            all.put(earlier.getBuffer());
            earlier.close();
        }
        connection.setExtraBytes(new ImmediatePooledByteBuffer(all.put(received).flip()));
    }

    private static int pipelinedBytes(HttpServerConnection connection) {
        PooledByteBuffer kept = connection.getExtraBytes();
        return kept == null ? 0 : kept.getBuffer().remaining();
    }
}
