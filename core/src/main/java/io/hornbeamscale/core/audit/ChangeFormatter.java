package io.hornbeamscale.core.audit;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamscale.core.document.DocumentDiff;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Formats changes for people: {@code +} for added entities, {@code -} for removed ones, and {@code *} for changed ones
 * with the old and new values.
 */
public final class ChangeFormatter {
    // Longer values, such as lists of key digests, would make it hard to see the other changes.
    private static final int MAX_VALUE_CHARS = 120;

    private ChangeFormatter() {}

    /**
     * Formats the differences between two documents.
     *
     * @param diff the differences including the earlier states of entities, not null
     * @return one line per entity, never null
     */
    public static List<String> lines(DocumentDiff diff) {
        return lines(diff.changes().stream().map(RecordedChange::of).toList());
    }

    /**
     * Formats recorded changes.
     *
     * @param changes the changes, not null
     * @return one line per entity, never null
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
