package io.hornbeamscale.gateway;

import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The connection to a server: ends a response that is malformed, or that sends many bytes in a row without content,
 * such as a head, a chunk size or a trailer without end, which the HTTP client would keep in memory. Runs on the
 * traffic thread.
 */
public final class ServerChannel extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** As large as the greatest head of a caller; a head from a server is a few hundred bytes. */
    private static final int MAX_BYTES_WITHOUT_CONTENT = 64 * 1_024;

    private final ResponseCheck check = new ResponseCheck();
    private long bytesWithoutContent;
    private boolean isEnded;
    private boolean isWriteFailed;

    ServerChannel(StreamSourceConduit next) {
        super(next);
    }

    /**
     * Notes that a request is sent, whose response is checked.
     *
     * @param method the HTTP method, not null
     */
    public void requestSent(String method) {
        bytesWithoutContent = 0;
        check.begin(!method.equals(Methods.HEAD_STRING));
    }

    /** Notes that content of a response was received. */
    public void contentReceived() {
        bytesWithoutContent = 0;
    }

    /** Notes that the connection is broken. A later read may take its error for the end of the response. */
    void writeFailed() {
        isWriteFailed = true;
    }

    /**
     * Returns whether the connection has ended. If not, a response that cannot be read is malformed.
     *
     * @return whether the server has closed the connection, or it is broken
     */
    public boolean isEnded() {
        return isEnded;
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        int start = to.position();
        int count = readNext(to);
        if (count > 0) {
            check.accept(to, start, to.position());
            bytesWithoutContent += count;
            if (bytesWithoutContent > MAX_BYTES_WITHOUT_CONTENT) {
                throw new MalformedResponseException(
                        "more than " + MAX_BYTES_WITHOUT_CONTENT + " bytes without content");
            }
        }
        return count;
    }

    private int readNext(ByteBuffer to) throws IOException {
        // A read that throws has found the connection broken.
        boolean wasEnded = isEnded;
        isEnded = true;
        int count = next.read(to);
        if (count < 0 && isWriteFailed) {
            throw new IOException("the connection broke while the request was sent");
        }
        isEnded = wasEnded || count < 0;
        return count;
    }

    @Override
    public long read(ByteBuffer[] to, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (to[i].hasRemaining()) {
                return read(to[i]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return Conduits.transfer(this, count, throughBuffer, target);
    }
}
