package io.hornbeamscale.core.work;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import io.hornbeamscale.core.util.Arguments;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The bytes of a message body. The array is shared, not copied, and must not be modified. */
public final class Payload {
    /** The payload without bytes. */
    public static final Payload EMPTY = new Payload(new byte[0]);

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Wraps bytes.
     *
     * @param bytes the bytes, not null; they must not be modified afterwards
     * @return the payload, never null
     */
    @JsonCreator
    public static Payload of(byte[] bytes) {
        Arguments.notNull(bytes, "bytes");
        return new Payload(bytes);
    }

    /**
     * Encodes text as UTF-8.
     *
     * @param text the text, not null
     * @return the payload, never null
     */
    public static Payload ofText(String text) {
        return new Payload(Arguments.notNull(text, "text").getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the bytes.
     *
     * @return the bytes, not copied, never null
     */
    @JsonValue
    public byte[] bytes() {
        return bytes;
    }

    /**
     * Returns the number of bytes.
     *
     * @return the number of bytes
     */
    public int size() {
        return bytes.length;
    }

    /**
     * Decodes the bytes as UTF-8.
     *
     * @return the text, never null
     */
    public String text() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Payload payload && Arrays.equals(bytes, payload.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "Payload[" + bytes.length + " bytes]";
    }
}
