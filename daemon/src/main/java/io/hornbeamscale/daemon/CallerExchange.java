package io.hornbeamscale.daemon;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Sends one response to a caller. Any thread may add bytes; they are written on the exchange's I/O thread. A slow
 * caller is disconnected when more than {@code MAX_QUEUED_BYTES} are queued for it.
 */
final class CallerExchange {
    private static final long MAX_QUEUED_BYTES = 4L << 20;
    private static final int MAX_BATCH_BYTES = 16 * 1024;

    private final HttpServerExchange exchange;
    private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private ByteBuffer buffer;
    private long queuedBytes;
    private boolean isScheduled;
    private boolean hasLastBytes;
    private boolean isStarted;
    private boolean isShutDown;
    private volatile boolean isSent;

    CallerExchange(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    /** Returns whether status and headers of the response are set. */
    synchronized boolean isStarted() {
        return isStarted;
    }

    /** Returns whether the whole response has been written to the connection. */
    boolean isSent() {
        return isSent;
    }

    /** Sets status and headers of the response, which are sent with the first bytes. */
    synchronized void start(int status, Map<String, String> headers) {
        if (isStarted) {
            throw new IllegalStateException("the response has already started");
        }
        isStarted = true;
        exchange.setStatusCode(status);
        headers.forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
    }

    /** Sends a complete response. */
    void respond(int status, Map<String, String> headers, byte[] body) {
        synchronized (this) {
            start(status, headers);
            exchange.setResponseContentLength(body.length);
        }
        write(body, true);
    }

    /** Queues bytes of the response. Nothing may be written after the last write. */
    void write(byte[] bytes, boolean isLast) {
        boolean isOverrun;
        synchronized (this) {
            queue.add(bytes);
            queuedBytes += bytes.length;
            isOverrun = !isLast && queuedBytes > MAX_QUEUED_BYTES;
            hasLastBytes |= isLast;
            if (isScheduled && !isOverrun) {
                return;
            }
            isScheduled = true;
        }
        if (isOverrun) {
            exchange.getIoThread().execute(() -> IoUtils.safeClose(exchange.getConnection()));
        } else {
            exchange.getIoThread().execute(this::writeQueued);
        }
    }

    private void writeQueued() {
        try {
            if (channel == null) {
                channel = exchange.getResponseChannel();
                channel.getWriteSetter().set(c -> writeQueued());
            }
            while (true) {
                if (buffer == null || !buffer.hasRemaining()) {
                    buffer = nextBuffer();
                }
                if (buffer == null) {
                    finishBatch();
                    return;
                }
                if (channel.write(buffer) == 0 && buffer.hasRemaining()) {
                    channel.resumeWrites();
                    return;
                }
            }
        } catch (IOException | RuntimeException e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void finishBatch() throws IOException {
        boolean isEnd;
        synchronized (this) {
            isEnd = hasLastBytes && queue.isEmpty();
        }
        if (isEnd && !isShutDown) {
            isShutDown = true;
            channel.shutdownWrites();
        }
        if (!channel.flush()) {
            channel.resumeWrites();
            return;
        }
        if (isEnd) {
            channel.suspendWrites();
            isSent = true;
            exchange.endExchange();
            return;
        }
        channel.suspendWrites();
        synchronized (this) {
            isScheduled = !queue.isEmpty();
            if (!isScheduled) {
                return;
            }
        }
        exchange.getIoThread().execute(this::writeQueued);
    }

    /** Takes queued bytes, null if there are none. Small pieces are merged into one buffer of up to MAX_BATCH_BYTES. */
    private synchronized ByteBuffer nextBuffer() {
        byte[] first = queue.poll();
        if (first == null) {
            return null;
        }
        queuedBytes -= first.length;
        int size = first.length;
        int count = 0;
        for (byte[] more : queue) {
            if (size + more.length > MAX_BATCH_BYTES) {
                break;
            }
            size += more.length;
            count++;
        }
        if (count == 0) {
            return ByteBuffer.wrap(first);
        }
        ByteBuffer batch = ByteBuffer.allocate(size).put(first);
        for (int i = 0; i < count; i++) {
            byte[] more = queue.remove();
            queuedBytes -= more.length;
            batch.put(more);
        }
        return batch.flip();
    }
}
