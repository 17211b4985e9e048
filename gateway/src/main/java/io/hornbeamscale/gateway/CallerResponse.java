package io.hornbeamscale.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** Writes the response to a caller. All methods run on the I/O thread of the exchange. */
final class CallerResponse {
    /** The greatest number of bytes queued for a caller that reads slowly; beyond it, the connection is closed. */
    private static final long MAX_QUEUED_BYTES = 2L << 20;

    private final HttpServerExchange exchange;
    private final CallerChannel caller;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private long queuedBytes;
    private boolean isLast;
    private boolean isShutDown;
    private boolean isEnded;

    CallerResponse(HttpServerExchange exchange) {
        this.exchange = exchange;
        this.caller = CallerChannel.of(exchange);
    }

    /** Returns whether the head of the response has been sent or is being sent. */
    boolean isStarted() {
        return channel != null;
    }

    /** Sends a complete response. Status and headers must have been set on the exchange. */
    void respond(byte[] body) {
        exchange.setResponseContentLength(body.length);
        isLast = true;
        enqueue(body);
        open();
        writeQueued();
    }

    /**
     * Sends the head of a response whose body follows. The body is chunked even if the connection closes after it,
     * because a body delimited by the end of the connection looks complete wherever it breaks off.
     */
    void start() {
        if (exchange.isHttp11()) {
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        }
        open();
        writeQueued();
    }

    /** Sends bytes of the body. */
    void write(byte[] bytes) {
        if (isEnded || bytes.length == 0) {
            return;
        }
        if (queuedBytes + bytes.length > MAX_QUEUED_BYTES) {
            abort();
            return;
        }
        enqueue(bytes);
        writeQueued();
    }

    /** Ends the body. */
    void finish() {
        isLast = true;
        writeQueued();
    }

    /** Closes the connection, so that the response is visibly incomplete. */
    void abort() {
        isEnded = true;
        IoUtils.safeClose(exchange.getConnection());
    }

    private void enqueue(byte[] bytes) {
        queuedBytes += bytes.length;
        queue.add(ByteBuffer.wrap(bytes));
        if (caller != null) {
            caller.hold(bytes.length, ControlLoop.now());
        }
    }

    private void written(int count) {
        queuedBytes -= count;
        if (caller != null) {
            caller.free(count);
            if (queuedBytes == 0) {
                caller.responseWritten();
            }
        }
    }

    private void blocked() {
        if (caller != null) {
            caller.responseBlocked(ControlLoop.now());
        }
        channel.resumeWrites();
    }

    private void open() {
        if (channel == null) {
            channel = exchange.getResponseChannel();
            channel.getWriteSetter().set(c -> writeQueued());
        }
    }

    private void writeQueued() {
        if (isEnded) {
            return;
        }
        try {
            while (!queue.isEmpty()) {
                ByteBuffer first = queue.peek();
                int count = channel.write(first);
                written(count);
                if (!first.hasRemaining()) {
                    queue.poll();
                } else if (count == 0) {
                    blocked();
                    return;
                }
            }
            if (isLast && !isShutDown) {
                isShutDown = true;
                channel.shutdownWrites();
            }
            if (!channel.flush()) {
                blocked();
                return;
            }
            channel.suspendWrites();
            if (isLast) {
                isEnded = true;
                exchange.endExchange();
            }
        } catch (IOException e) {
            // The caller has closed the connection; closing it here notifies the relay.
            abort();
        }
    }
}
