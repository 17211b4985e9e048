package io.hornbeamscale.daemon;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/** Parses server-sent events from bytes that arrive in pieces. Comments and unknown fields are skipped. */
final class EventParser {
    private final BiConsumer<String, String> events;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String id = "";
    private String type = "";

    /**
     * Creates a parser.
     *
     * @param events receives id and data of each event
     */
    EventParser(BiConsumer<String, String> events) {
        this.events = events;
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

    /** Returns the type of the event that is being passed on, empty if it has none. */
    String type() {
        return type;
    }

    private void line(String text) {
        if (text.isEmpty()) {
            if (data.length() > 0) {
                events.accept(id, data.toString());
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
