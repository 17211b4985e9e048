package io.hornbeamscale.daemon.bench;

import io.hornbeamscale.daemon.LocalDeployment;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Opens many streams on one thread and records the time between tokens. */
final class StreamClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final long TIMEOUT_SECONDS = 300;
    private static final int MAX_STREAMS_WITHOUT_TOKEN = 200;

    private final Selector selector = Selector.open();
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final Histogram tokenIntervals = new Histogram(3);
    private int openedStreams;
    private int streamsWithTokens;

    StreamClient() throws IOException {}

    /**
     * Opens streams. Limits how many of them wait for their first token, so that the server's accept queue does not
     * overflow.
     */
    void open(InetSocketAddress address, int count, String prompt, int tokens) throws IOException {
        for (int i = 0; i < count; i++) {
            SocketChannel channel = SocketChannel.open(address);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.write(ByteBuffer.wrap(request(prompt + " " + i, tokens)));
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_READ, new StreamState());
            openedStreams++;
            while (openedStreams - streamsWithTokens > MAX_STREAMS_WITHOUT_TOKEN) {
                read();
            }
        }
    }

    /** Reads until every stream has received a token, at most for 300 s. */
    void awaitFirstTokens() throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (streamsWithTokens < openedStreams && System.nanoTime() < end) {
            read();
        }
    }

    /** Reads until every stream has ended, at most for 300 s. */
    void awaitEnds() throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!selector.keys().isEmpty() && System.nanoTime() < end) {
            read();
        }
    }

    int streamsWithTokens() {
        return streamsWithTokens;
    }

    /** Returns the times between tokens, in microseconds. */
    Histogram tokenIntervals() {
        return tokenIntervals;
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }

    private static byte[] request(String prompt, int tokens) {
        String body =
                "{\"model\":\"teller\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + tokens + ",\"stream\":true}";
        String head = "POST /v1/completions HTTP/1.1\r\nHost: local\r\nConnection: close\r\n"
                + "Authorization: Bearer " + LocalDeployment.API_KEY
                + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.UTF_8);
    }

    private void read() throws IOException {
        selector.select(this::read, 100);
    }

    private void read(SelectionKey key) {
        StreamState stream = (StreamState) key.attachment();
        try {
            buffer.clear();
            int count = ((SocketChannel) key.channel()).read(buffer);
            if (count < 0) {
                key.channel().close();
                return;
            }
            long now = System.nanoTime();
            for (int i = 0; i < count; i++) {
                if (stream.isEventEnd(buffer.get(i))) {
                    tokenReceived(stream, now);
                }
            }
        } catch (IOException e) {
            key.cancel();
        }
    }

    private void tokenReceived(StreamState stream, long now) {
        if (stream.lastNanos == 0) {
            streamsWithTokens++;
        } else {
            tokenIntervals.recordValue(TimeUnit.NANOSECONDS.toMicros(now - stream.lastNanos));
        }
        stream.lastNanos = now;
    }

    /** Detects the ends of events, which are two consecutive line feeds, and keeps the time of the last one. */
    private static final class StreamState {
        private long lastNanos;
        private byte previous;

        boolean isEventEnd(byte b) {
            boolean isEnd = b == '\n' && previous == '\n';
            previous = b;
            return isEnd;
        }
    }
}
