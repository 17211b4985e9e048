package io.hornbeamscale.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** The body of a response that is read into memory, up to a limit. A faulty server may send bytes without end. */
final class ResponseBody {
    private final int maxBytes;
    private ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    /**
     * Creates an empty body.
     *
     * @param maxBytes the number of bytes from which on the body is refused
     */
    ResponseBody(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Adds bytes.
     *
     * @param received the bytes, read to their end if they are added
     * @return whether they were added; false if the body would exceed its limit
     */
    boolean add(ByteBuffer received) {
        if (bytes.size() + received.remaining() > maxBytes) {
            return false;
        }
        byte[] copy = new byte[received.remaining()];
        received.get(copy);
        bytes.writeBytes(copy);
        return true;
    }

    /** Drops the bytes of a response that is not used; its closed connection refers to it for some time. */
    void discard() {
        bytes = new ByteArrayOutputStream();
    }

    int size() {
        return bytes.size();
    }

    byte[] toByteArray() {
        return bytes.toByteArray();
    }
}
