package io.hornbeamscale.gateway;

import io.hornbeamscale.core.error.ErrorKind;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of a request into memory and counts it as it arrives. A body is refused if it exceeds its limit, if it
 * is not complete at the deadline of its request, if no byte of it arrives for longer than a connection may be idle, or
 * if too much is held for callers. Nothing has run then. Runs on the traffic thread.
 */
final class RequestBodyReader {
    /** Bodies up to this size are read even if large ones are refused, in bytes. */
    private static final int SMALL_BYTES = 16 * 1_024;

    private static final int FIRST_BLOCK_BYTES = 512;
    private static final int MAX_BLOCK_BYTES = 64 * 1_024;

    private final HttpServerExchange exchange;
    private final CallerChannel channel;
    private final CallerConnections connections;
    private final long maxBytes;
    private final long deadlineMillis;
    private final Listener listener;
    private final List<ByteBuffer> blocks = new ArrayList<>();
    private StreamSourceChannel source;
    private long size;
    private long heldBytes;
    private long progressMillis;
    private boolean isLargeAllowed;
    private boolean isEnded;

    /**
     * Creates a reader.
     *
     * @param maxBytes the maximum size of the body, in bytes
     * @param deadlineMillis when the request cannot be served any more, in milliseconds
     */
    RequestBodyReader(
            HttpServerExchange exchange,
            CallerChannel channel,
            CallerConnections connections,
            long maxBytes,
            long deadlineMillis,
            Listener listener) {
        this.exchange = exchange;
        this.channel = channel;
        this.connections = connections;
        this.maxBytes = maxBytes;
        this.deadlineMillis = deadlineMillis;
        this.listener = listener;
    }

    /** Starts to read; the listener may be called before this method returns. */
    void begin(long nowMillis) {
        if (exchange.isRequestComplete()) {
            isEnded = true;
            listener.completed(new byte[0]);
            return;
        }
        progressMillis = nowMillis;
        channel.bodyStarted(this, nowMillis);
        if (exchange.getRequestContentLength() > SMALL_BYTES && !tryBeginLarge(nowMillis)) {
            return;
        }
        source = exchange.getRequestChannel();
        source.getReadSetter().set(c -> read());
        read();
    }

    /** Refuses the body if its request cannot be served any more or its caller sends nothing. */
    void refuseIfExpired(long idleTimeoutMillis, long nowMillis) {
        if (nowMillis > deadlineMillis) {
            connections.clientClosed("body_deadline", nowMillis - channel.phaseSinceMillis());
            refuse(ErrorKind.OVERLOADED, "the body was not complete at the deadline");
        } else if (nowMillis - progressMillis > idleTimeoutMillis) {
            connections.clientClosed("body_idle", nowMillis - progressMillis);
            refuse(ErrorKind.OVERLOADED, "no byte of the body has arrived for too long");
        }
    }

    /** Drops what was read, as its bytes are no longer counted. */
    void discard() {
        blocks.clear();
        heldBytes = 0;
    }

    void refuseForMemory() {
        refuse(ErrorKind.OVERLOADED, "too much is held for callers");
    }

    private boolean tryBeginLarge(long nowMillis) {
        if (!isLargeAllowed) {
            isLargeAllowed = connections.tryBeginLargeBody(nowMillis);
            if (!isLargeAllowed) {
                connections.clientClosed("large_body", 0);
                refuseForMemory();
            }
        }
        return isLargeAllowed;
    }

    private void read() {
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!isEnded) {
                buffer.clear();
                int count = source.read(buffer);
                if (channel.isReleased()) {
                    // What was read of the body is dropped already.
                    refuseForMemory();
                    return;
                }
                if (count == 0) {
                    source.resumeReads();
                    return;
                }
                if (count < 0) {
                    complete();
                    return;
                }
                add(buffer.flip());
            }
        } catch (IOException e) {
            if (channel.isReleased()) {
                refuseForMemory();
            } else {
                refuse(ErrorKind.BAD_REQUEST, "the body could not be read: " + e.getMessage());
            }
        }
    }

    private void add(ByteBuffer received) {
        long now = ControlLoop.now();
        size += received.remaining();
        progressMillis = now;
        channel.bodyReceived();
        if (size > maxBytes) {
            refuse(ErrorKind.PAYLOAD_TOO_LARGE, "body too large");
            return;
        }
        if (size > SMALL_BYTES && !tryBeginLarge(now)) {
            return;
        }
        while (received.hasRemaining() && !channel.isReleased()) {
            ByteBuffer block = block(now);
            int count = Math.min(block.remaining(), received.remaining());
            block.put(received.slice(received.position(), count));
            received.position(received.position() + count);
        }
    }

    /** Returns a block with room. Blocks double in size, so that a small body takes little. */
    private ByteBuffer block(long nowMillis) {
        ByteBuffer last = blocks.isEmpty() ? null : blocks.get(blocks.size() - 1);
        if (last != null && last.hasRemaining()) {
            return last;
        }
        int bytes = last == null ? FIRST_BLOCK_BYTES : Math.min(MAX_BLOCK_BYTES, 2 * last.capacity());
        ByteBuffer block = ByteBuffer.allocate(bytes);
        blocks.add(block);
        heldBytes += bytes;
        channel.hold(bytes, nowMillis);
        return block;
    }

    private void complete() {
        isEnded = true;
        byte[] body = new byte[(int) size];
        int position = 0;
        for (ByteBuffer block : blocks) {
            int count = block.flip().remaining();
            block.get(body, position, count);
            position += count;
        }
        channel.free(heldBytes - size);
        discard();
        channel.bodyEnded(ControlLoop.now());
        listener.completed(body);
    }

    private void refuse(ErrorKind kind, String why) {
        if (isEnded) {
            return;
        }
        isEnded = true;
        channel.free(heldBytes);
        discard();
        if (source != null) {
            source.suspendReads();
        }
        exchange.setPersistent(false);
        listener.refused(kind, why);
    }

    /** Receives the result: exactly one call, or none if the caller closes the connection. */
    interface Listener {
        /** Handles a complete body. */
        void completed(byte[] body);

        /** Handles a body that is not read to its end; the request must be refused. */
        void refused(ErrorKind kind, String why);
    }
}
