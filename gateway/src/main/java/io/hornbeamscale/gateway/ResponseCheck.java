package io.hornbeamscale.gateway;

import java.nio.ByteBuffer;

/**
 * Checks the bytes that a server sends in response to one request after the other on a connection, before the HTTP
 * client reads them. The client takes malformed heads for proper ones: it skips lines that are no field, and reads a
 * body up to the end of the connection if it does not recognize the field that tells its length.
 */
final class ResponseCheck {
    private final ResponseHeadCheck head = new ResponseHeadCheck();
    private final ChunkCheck chunks = new ChunkCheck();
    private State state = State.UNCHECKED;
    private boolean hasBody;

    /**
     * Expects the response to a request that is sent now.
     *
     * @param mayHaveBody whether its head may be followed by a body; false for the method HEAD
     */
    void begin(boolean mayHaveBody) {
        if (state == State.MALFORMED) {
            return;
        }
        head.begin();
        chunks.begin();
        hasBody = mayHaveBody;
        state = State.HEAD;
    }

    /**
     * Checks bytes that were received.
     *
     * @param bytes the bytes, whose position is not used
     * @param from the index of the first byte
     * @param to the index after the last byte
     * @throws MalformedResponseException if the response is malformed
     */
    void accept(ByteBuffer bytes, int from, int to) throws MalformedResponseException {
        if (state == State.MALFORMED) {
            throw new MalformedResponseException("the bytes follow a malformed response");
        }
        try {
            check(bytes, from, to);
        } catch (MalformedResponseException e) {
            state = State.MALFORMED;
            throw e;
        }
    }

    private void check(ByteBuffer bytes, int from, int to) throws MalformedResponseException {
        int i = from;
        while (state == State.HEAD && i < to) {
            if (head.accept(bytes.get(i++) & 0xff)) {
                endHead();
            }
        }
        if (state == State.CHUNKS && chunks.accept(bytes, i, to)) {
            state = State.UNCHECKED;
        }
    }

    private void endHead() {
        if (head.isInterim()) {
            head.begin();
        } else {
            state = hasBody && head.isChunked() ? State.CHUNKS : State.UNCHECKED;
        }
    }

    private enum State {
        HEAD,
        CHUNKS,
        /** A body whose length is known or ends with the connection, or bytes that no response is expected in. */
        UNCHECKED,
        /** What follows on the connection belongs to no response. */
        MALFORMED
    }
}
