package io.hornbeamscale.daemon.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * One line of a process's structured log.
 *
 * @param process the name of the process that wrote it: the name of the file, or in a log that was collected from
 *     several processes the word before the JSON text
 * @param timeMillis the time by the clock of the process, in milliseconds since 1970
 * @param fields the fields of the message, by name, without the time
 */
record LogLine(String process, long timeMillis, Map<String, String> fields) {
    private static final ObjectMapper JSON = new ObjectMapper();

    LogLine {
        fields = Map.copyOf(fields);
    }

    /**
     * Parses a line.
     *
     * @param file the name of the file, used as the name of the process if the line has none, not null
     * @param text the line, not null
     * @return the line, empty if it is not a line of a structured log
     */
    static Optional<LogLine> parse(String file, String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode root = JSON.readTree(text.substring(start));
            JsonNode message = root.path("message");
            if (!root.path("time").isIntegralNumber() || !message.isObject()) {
                return Optional.empty();
            }
            Map<String, String> fields = new TreeMap<>();
            Iterator<Map.Entry<String, JsonNode>> entries = message.properties().iterator();
            while (entries.hasNext()) {
                Map.Entry<String, JsonNode> field = entries.next();
                fields.put(field.getKey(), field.getValue().asText());
            }
            return Optional.of(new LogLine(
                    process(file, text.substring(0, start)), root.path("time").asLong(), fields));
        } catch (JsonProcessingException e) {
            // The line was truncated when its process was killed; the caller counts such lines.
            return Optional.empty();
        }
    }

    String event() {
        return field("event");
    }

    /** Returns the value of a field, an empty text if the line has no such field. */
    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    LogLine shifted(long millis) {
        return new LogLine(process, timeMillis + millis, fields);
    }

    /** Returns the last word before the JSON text, which names the process in a collected log, or else the file. */
    private static String process(String file, String prefix) {
        String trimmed = prefix.strip();
        int space = Math.max(trimmed.lastIndexOf(' '), trimmed.lastIndexOf('\t'));
        String word = trimmed.substring(space + 1);
        return word.isEmpty() ? file : word;
    }
}
