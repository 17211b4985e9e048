package io.hornbeamscale.gateway;

import java.nio.ByteBuffer;

/** Checks the sizes, extensions, line ends and the trailer of a body that is sent in chunks. */
final class ChunkCheck {
    private static final int HEX = 16;

    private final FieldLinesCheck trailer = new FieldLinesCheck();
    private State state;
    private long size;
    private boolean hasSize;

    ChunkCheck() {
        begin();
    }

    /** Begins another body. */
    void begin() {
        beginSize();
        trailer.begin();
    }

    /**
     * Checks bytes from an index on, up to the end of the body.
     *
     * @param bytes the bytes, whose position is not used
     * @param from the index of the first byte
     * @param to the index after the last byte
     * @return whether the body has ended
     * @throws MalformedResponseException if the chunks are malformed
     */
    boolean accept(ByteBuffer bytes, int from, int to) throws MalformedResponseException {
        int i = from;
        while (i < to) {
            if (state == State.DATA) {
                int skipped = (int) Math.min(size, to - i);
                size -= skipped;
                i += skipped;
                if (size == 0) {
                    state = State.DATA_END;
                }
            } else if (accept(bytes.get(i++) & 0xff)) {
                return true;
            }
        }
        return false;
    }

    private boolean accept(int b) throws MalformedResponseException {
        switch (state) {
            case SIZE -> size(b);
            case BLANK -> {
                require(b == ';' || HttpBytes.isBlank(b));
                state = b == ';' ? State.EXTENSION : State.BLANK;
            }
            case EXTENSION -> {
                require(b == '\r' || HttpBytes.isText(b));
                state = b == '\r' ? State.SIZE_LINE_FEED : State.EXTENSION;
            }
            case SIZE_LINE_FEED -> {
                FieldLinesCheck.requireLineFeed(b);
                state = size == 0 ? State.TRAILER : State.DATA;
            }
            case DATA_END -> {
                require(b == '\r');
                state = State.DATA_LINE_FEED;
            }
            case DATA_LINE_FEED -> {
                FieldLinesCheck.requireLineFeed(b);
                beginSize();
            }
            default -> {
                return trailer.accept(b);
            }
        }
        return false;
    }

    private void beginSize() {
        state = State.SIZE;
        size = 0;
        hasSize = false;
    }

    private void size(int b) throws MalformedResponseException {
        int digit = b < 0x80 ? Character.digit((char) b, HEX) : -1;
        if (digit >= 0) {
            require(size <= Long.MAX_VALUE / HEX);
            size = size * HEX + digit;
            hasSize = true;
            return;
        }
        require(hasSize && (b == '\r' || b == ';' || HttpBytes.isBlank(b)));
        if (b == '\r') {
            state = State.SIZE_LINE_FEED;
        } else {
            state = b == ';' ? State.EXTENSION : State.BLANK;
        }
    }

    private static void require(boolean isValid) throws MalformedResponseException {
        if (!isValid) {
            throw new MalformedResponseException("a chunk is malformed");
        }
    }

    private enum State {
        SIZE,
        BLANK,
        EXTENSION,
        SIZE_LINE_FEED,
        DATA,
        DATA_END,
        DATA_LINE_FEED,
        TRAILER
    }
}
