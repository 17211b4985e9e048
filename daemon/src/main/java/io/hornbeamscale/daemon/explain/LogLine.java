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
 * @param process the process that wrote it: the name of its file, or the word before the JSON text in a collected log
 * @param timeMillis the process's clock, in Unix milliseconds
 * @param fields the fields of the message, by name, without the time
 */
record LogLine(String process, long timeMillis, Map<String, String> fields) {
    private static final ObjectMapper JSON = new ObjectMapper();

    LogLine {
        fields = Map.copyOf(fields);
    }

    /**
     * Reads a line.
     *
     * @param file the name of the file, which names the process if the line does not, not null
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
            Iterator<Map.Entry<String, JsonNode>> all = message.properties().iterator();
            while (all.hasNext()) {
                Map.Entry<String, JsonNode> field = all.next();
                fields.put(field.getKey(), field.getValue().asText());
            }
            return Optional.of(new LogLine(
                    process(file, text.substring(0, start)), root.path("time").asLong(), fields));
        } catch (JsonProcessingException e) {
            // A line that was cut off when its process was killed; the caller counts it.
            return Optional.empty();
        }
    }

    String event() {
        return field("event");
    }

    /** Returns a field, empty text if the line lacks it. */
    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    LogLine shifted(long millis) {
        return new LogLine(process, timeMillis + millis, fields);
    }

    /** A log that was collected from several processes has the name of the process as the last word before the JSON. */
    private static String process(String file, String prefix) {
        String trimmed = prefix.strip();
        int space = Math.max(trimmed.lastIndexOf(' '), trimmed.lastIndexOf('\t'));
        String word = trimmed.substring(space + 1);
        return word.isEmpty() ? file : word;
    }
}
