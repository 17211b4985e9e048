package io.hornbeamscale.daemon;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/** Parses server-sent events incrementally. Comments and unknown fields are ignored. */
final class ServerSentEventParser {
    private final BiConsumer<String, String> listener;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String id = "";
    private String type = "";

    /**
     * Creates a parser.
     *
     * @param listener receives id and data of each event; an event without id has that of its predecessor
     */
    ServerSentEventParser(BiConsumer<String, String> listener) {
        this.listener = listener;
    }

    void feed(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n') {
                line(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else if (b != '\r') {
                line.write(b);
            }
        }
    }

    /** Returns the size of the incomplete event, in bytes and characters. */
    int pendingBytes() {
        return line.size() + data.length() + id.length() + type.length();
    }

    /** Returns the type of the event that the listener is receiving, empty if it has none. */
    String type() {
        return type;
    }

    private void line(String text) {
        if (text.isEmpty()) {
            if (data.length() > 0) {
                listener.accept(id, data.toString());
            }
            data.setLength(0);
            type = "";
            return;
        }
        int colon = text.indexOf(':');
        String name = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(colon + 1);
        if (value.startsWith(" ")) {
            value = value.substring(1);
        }
        switch (name) {
            case "id" -> id = value;
            case "event" -> type = value;
            case "data" -> data.append(data.length() == 0 ? "" : "\n").append(value);
            default -> {
                return;
            }
        }
    }
}
