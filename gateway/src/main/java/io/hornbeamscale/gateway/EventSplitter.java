package io.hornbeamscale.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts the bytes of one server's stream into whole server-sent events. A part of an event is kept back until the rest
 * arrives, so that a stream that breaks off within an event can go on with the whole event from another server. Events
 * that the caller has already are left out.
 */
final class EventSplitter {
    private static final int FIRST_BYTES = 1024;
    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final long NO_ID = -1;

    private byte[] pending = new byte[FIRST_BYTES];
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
     * Adds bytes.
     *
     * @param bytes the bytes, read to their end
     * @return the whole events that the bytes complete and the caller lacks, empty if there are none
     */
    byte[] feed(ByteBuffer bytes) {
        int scanned = size;
        int count = bytes.remaining();
        if (size + count > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(pending.length * 2, size + count));
        }
        bytes.get(pending, size, count);
        size += count;
        byte[] whole = new byte[size];
        int kept = 0;
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
                    System.arraycopy(pending, eventStart, whole, kept, i + 1 - eventStart);
                    kept += i + 1 - eventStart;
                }
                eventStart = i + 1;
            } else if (startsWithId(lineStart, length)) {
                eventId = number(lineStart + ID.length, length - ID.length);
            }
            lineStart = i + 1;
        }
        System.arraycopy(pending, eventStart, pending, 0, size - eventStart);
        size -= eventStart;
        lineStart -= eventStart;
        return Arrays.copyOf(whole, kept);
    }

    /** Skips the events up to one that the caller got from elsewhere. */
    void skipTo(long id) {
        lastId = Math.max(lastId, id);
    }

    /** Returns whether a part of an event is kept back. */
    boolean hasPart() {
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

    /** Ends an event and returns whether the caller lacks it. Events without an id belong to the stream's framing. */
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

    private long number(int start, int length) {
        try {
            return Long.parseLong(new String(pending, start, length, StandardCharsets.US_ASCII).trim());
        } catch (NumberFormatException e) {
            return NO_ID;
        }
    }

    private boolean startsWithId(int start, int length) {
        return length >= ID.length
                && pending[start] == ID[0]
                && pending[start + 1] == ID[1]
                && pending[start + 2] == ID[2];
    }
}
