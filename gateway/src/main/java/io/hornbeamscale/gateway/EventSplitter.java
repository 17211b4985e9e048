package io.hornbeamscale.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events into whole events. A part of an event is kept back until the rest arrives, so
 * that a stream that breaks off within an event can go on with the whole event from another server.
 */
final class EventSplitter {
    private static final int FIRST_BYTES = 1024;
    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] pending = new byte[FIRST_BYTES];
    private int size;
    private int lineStart;
    private Optional<String> eventId = Optional.empty();
    private Optional<String> lastId = Optional.empty();
    private long events;

    /**
     * Adds bytes.
     *
     * @param bytes the bytes, read to their end
     * @return the whole events that the bytes complete, empty if there are none
     */
    byte[] feed(ByteBuffer bytes) {
        int scanned = size;
        int count = bytes.remaining();
        if (size + count > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(pending.length * 2, size + count));
        }
        bytes.get(pending, size, count);
        size += count;
        int end = 0;
        for (int i = scanned; i < size; i++) {
            if (pending[i] != '\n') {
                continue;
            }
            int length = i - lineStart;
            if (length > 0 && pending[i - 1] == '\r') {
                length--;
            }
            if (length == 0) {
                end = i + 1;
                endEvent();
            } else if (startsWithId(lineStart, length)) {
                eventId = Optional.of(
                        new String(pending, lineStart + ID.length, length - ID.length, StandardCharsets.UTF_8).trim());
            }
            lineStart = i + 1;
        }
        byte[] whole = Arrays.copyOf(pending, end);
        System.arraycopy(pending, end, pending, 0, size - end);
        size -= end;
        lineStart -= end;
        return whole;
    }

    /** Returns whether a part of an event is kept back. */
    boolean hasPart() {
        return size > 0;
    }

    /** Drops a part of an event that will not be completed. */
    void dropPart() {
        size = 0;
        lineStart = 0;
        eventId = Optional.empty();
    }

    /** Returns the id of the last whole event that has one. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Returns the number of whole events with an id. */
    long events() {
        return events;
    }

    private void endEvent() {
        if (eventId.isPresent()) {
            lastId = eventId;
            events++;
        }
        eventId = Optional.empty();
    }

    private boolean startsWithId(int start, int length) {
        return length >= ID.length
                && pending[start] == ID[0]
                && pending[start + 1] == ID[1]
                && pending[start + 2] == ID[2];
    }
}
