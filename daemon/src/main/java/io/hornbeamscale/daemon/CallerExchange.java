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
 * Sends one response to a caller. Any thread may add bytes; they are written on the exchange's I/O thread. A caller
 * that does not read fast enough is disconnected.
 */
final class CallerExchange {
    private static final long MAX_QUEUED_BYTES = 4L << 20;
    private static final int MAX_BATCH_BYTES = 16 * 1024;

    private final HttpServerExchange exchange;
    private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private ByteBuffer writing;
    private long queuedBytes;
    private boolean isScheduled;
    private boolean isLast;
    private boolean isStarted;
    private boolean isShutdown;

    CallerExchange(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    /** Returns whether the head of the response was sent. */
    synchronized boolean isStarted() {
        return isStarted;
    }

    /** Sends the head of the response. */
    synchronized void start(int status, Map<String, String> headers) {
        if (isStarted) {
            throw new IllegalStateException("the response has started");
        }
        isStarted = true;
        exchange.setStatusCode(status);
        headers.forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
    }

    /** Sends a whole response. */
    void respond(int status, Map<String, String> headers, byte[] body) {
        synchronized (this) {
            start(status, headers);
            exchange.setResponseContentLength(body.length);
        }
        write(body, true);
    }

    /** Adds bytes to the response; nothing may follow the last ones. */
    void write(byte[] bytes, boolean isLastWrite) {
        boolean isOverrun;
        synchronized (this) {
            queue.add(bytes);
            queuedBytes += bytes.length;
            isOverrun = !isLastWrite && queuedBytes > MAX_QUEUED_BYTES;
            isLast |= isLastWrite;
            if (isScheduled && !isOverrun) {
                return;
            }
            isScheduled = true;
        }
        if (isOverrun) {
            exchange.getIoThread().execute(() -> IoUtils.safeClose(exchange.getConnection()));
        } else {
            exchange.getIoThread().execute(this::pump);
        }
    }

    private void pump() {
        try {
            if (channel == null) {
                channel = exchange.getResponseChannel();
                channel.getWriteSetter().set(c -> pump());
            }
            while (true) {
                if (writing == null || !writing.hasRemaining()) {
                    writing = next();
                }
                if (writing == null) {
                    finishRound();
                    return;
                }
                if (channel.write(writing) == 0 && writing.hasRemaining()) {
                    channel.resumeWrites();
                    return;
                }
            }
        } catch (IOException | RuntimeException e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void finishRound() throws IOException {
        boolean isEnd;
        synchronized (this) {
            isEnd = isLast && queue.isEmpty();
        }
        if (isEnd && !isShutdown) {
            isShutdown = true;
            channel.shutdownWrites();
        }
        if (!channel.flush()) {
            channel.resumeWrites();
            return;
        }
        if (isEnd) {
            channel.suspendWrites();
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
        exchange.getIoThread().execute(this::pump);
    }

    /** Takes queued bytes; several small pieces become one buffer. */
    private synchronized ByteBuffer next() {
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
