package io.hornbeamscale.core.audit;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamscale.core.document.DocumentDiff;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Renders changes for people: {@code +} added, {@code -} removed, {@code *} changed with old and new values. */
public final class ChangeFormatter {
    // Longer lists, such as those of key digests, would hide the other changes.
    private static final int MAX_VALUE_CHARS = 120;

    private ChangeFormatter() {}

    /**
     * Renders differences.
     *
     * @param diff the differences with earlier states, not null
     * @return one line for each entity, never null
     */
    public static List<String> lines(DocumentDiff diff) {
        return lines(diff.changes().stream().map(RecordedChange::of).toList());
    }

    /**
     * Renders recorded changes.
     *
     * @param changes the changes, not null
     * @return one line for each entity, never null
     */
    public static List<String> lines(List<RecordedChange> changes) {
        return changes.stream().map(ChangeFormatter::line).toList();
    }

    private static String line(RecordedChange change) {
        String id = change.section() + "/" + change.name();
        return switch (change.operation()) {
            case ADDED -> "+ " + id;
            case REMOVED -> "- " + id;
            case CHANGED -> "* " + id + ": " + String.join(", ", fields(change));
        };
    }

    private static List<String> fields(RecordedChange change) {
        List<String> fields = new ArrayList<>();
        for (Map.Entry<String, JsonNode> field : change.before().properties()) {
            String text = field.getKey() + " " + value(field.getValue());
            JsonNode after = change.after() == null ? null : change.after().get(field.getKey());
            fields.add(after == null ? "was " + text : text + " -> " + value(after));
        }
        return fields;
    }

    private static String value(JsonNode node) {
        String text = node.toString();
        return text.length() <= MAX_VALUE_CHARS ? text : text.substring(0, MAX_VALUE_CHARS) + "...";
    }
}
