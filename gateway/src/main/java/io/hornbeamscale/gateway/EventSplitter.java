package io.hornbeamscale.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits the bytes of one server's stream into complete server-sent events. A partial event is held back until the rest
 * arrives, so that a stream that breaks off within an event can continue with the complete event from another server.
 * Events that the caller already has are dropped.
 */
final class EventSplitter {
    private static final int INITIAL_BUFFER_BYTES = 1024;
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final long NO_ID = -1;

    private byte[] pending = new byte[INITIAL_BUFFER_BYTES];
    private int size;
    private int lineStart;
    private long eventId = NO_ID;
    private long lastId;
    private boolean hasGap;

    /**
     * Creates a splitter.
     *
     * @param lastId the id of the last event that the caller has, 0 if it has none
     */
    EventSplitter(long lastId) {
        this.lastId = lastId;
    }

    /**
     * Adds bytes of the stream.
     *
     * @param bytes the bytes, read to their end
     * @return the events that the bytes complete and that the caller does not have, empty if there are none
     */
    byte[] feed(ByteBuffer bytes) {
        int scanned = size;
        int count = bytes.remaining();
        if (size + count > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(pending.length * 2, size + count));
        }
        bytes.get(pending, size, count);
        size += count;
        ByteArrayOutputStream complete = new ByteArrayOutputStream();
        int eventStart = 0;
        for (int i = scanned; i < size; i++) {
            if (pending[i] != '\n') {
                continue;
            }
            int length = i - lineStart;
            if (length > 0 && pending[i - 1] == '\r') {
                length--;
            }
            if (length == 0) {
                if (isWanted()) {
                    complete.write(pending, eventStart, i + 1 - eventStart);
                }
                eventStart = i + 1;
            } else if (startsWithId(lineStart, length)) {
                eventId = parseId(lineStart + ID_FIELD.length, length - ID_FIELD.length);
            }
            lineStart = i + 1;
        }
        System.arraycopy(pending, eventStart, pending, 0, size - eventStart);
        size -= eventStart;
        lineStart -= eventStart;
        return complete.toByteArray();
    }

    /** Drops the events up to an id, which the caller has from another server. */
    void skipTo(long id) {
        lastId = Math.max(lastId, id);
    }

    /** Drops a partial event that is not used any more. */
    void discard() {
        pending = new byte[0];
        size = 0;
        lineStart = 0;
    }

    /** Returns the size of the partial event that is held back, in bytes. */
    int pendingBytes() {
        return size;
    }

    /** Returns whether a partial event is held back. */
    boolean hasPartialEvent() {
        return size > 0;
    }

    /** Returns the id of the last event that the caller has, 0 if it has none. */
    long lastId() {
        return lastId;
    }

    /** Returns whether an event was missing between two others. */
    boolean hasGap() {
        return hasGap;
    }

    /**
     * Ends an event and returns whether it is passed on: if the caller does not have it, or if it has no id and so
     * belongs to the framing of the stream.
     */
    private boolean isWanted() {
        long id = eventId;
        eventId = NO_ID;
        if (id == NO_ID) {
            return true;
        }
        if (id <= lastId) {
            return false;
        }
        hasGap |= id != lastId + 1;
        lastId = id;
        return true;
    }

    private long parseId(int start, int length) {
        try {
            return Long.parseLong(new String(pending, start, length, StandardCharsets.US_ASCII).trim());
        } catch (NumberFormatException e) {
            return NO_ID;
        }
    }

    private boolean startsWithId(int start, int length) {
        return length >= ID_FIELD.length
                && pending[start] == ID_FIELD[0]
                && pending[start + 1] == ID_FIELD[1]
                && pending[start + 2] == ID_FIELD[2];
    }
}
