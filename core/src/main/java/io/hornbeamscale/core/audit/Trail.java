package io.hornbeamscale.core.audit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The newest entries of a trail, with a link to the segment that holds the preceding entries. A segment is itself a
 * trail and is immutable once stored.
 *
 * @param <T> the type of the entries
 * @param previous the key of the preceding segment, empty if there is none
 * @param entries the entries in ascending order of their numbers
 */
public record Trail<T extends TrailEntry>(String previous, List<T> entries) {
    /** Copies the list. */
    public Trail {
        previous = previous == null ? "" : previous;
        entries = List.copyOf(entries);
    }

    /**
     * Returns a trail without entries.
     *
     * @param <T> the type of the entries
     * @return the trail, never null
     */
    public static <T extends TrailEntry> Trail<T> empty() {
        return new Trail<>("", List.of());
    }

    /**
     * Returns this trail with an additional entry at the end.
     *
     * @param entry the entry, not null
     * @return a new trail, never null
     */
    public Trail<T> with(T entry) {
        List<T> extended = new ArrayList<>(entries);
        extended.add(entry);
        return new Trail<>(previous, extended);
    }

    /**
     * Returns this trail without the entries that a segment contains.
     *
     * @param key the key of the segment, not null
     * @param segment the segment, not null
     * @return a new trail that links to the segment, never null
     * @throws ServingException with {@link ErrorKind#INTERNAL} if the segment contains other entries than this trail
     */
    Trail<T> after(String key, Trail<T> segment) {
        Map<Long, String> segmentWriters = new HashMap<>();
        segment.entries.forEach(entry -> segmentWriters.put(entry.number(), entry.writer()));
        List<T> remaining = new ArrayList<>();
        for (T entry : entries) {
            String writer = segmentWriters.get(entry.number());
            if (writer == null) {
                remaining.add(entry);
            } else if (!writer.equals(entry.writer())) {
                throw new ServingException(
                        ErrorKind.INTERNAL, "segment " + key + " has another entry " + entry.number());
            }
        }
        if (remaining.size() == entries.size()) {
            throw new ServingException(ErrorKind.INTERNAL, "segment " + key + " holds no entry of this trail");
        }
        return new Trail<>(key, remaining);
    }

    /**
     * Returns the key under which the entries are stored as a segment. Concurrent writers that store the same entries
     * use the same key, so the segment is written only once.
     *
     * @param prefix the prefix of the key, not null
     * @return the key, never null
     */
    String segmentKey(String prefix) {
        return prefix + String.format("%010d", entries.get(0).number());
    }

    /**
     * Returns this trail as a JSON tree.
     *
     * @return a new tree, never null
     */
    ObjectNode toTree() {
        ObjectNode tree = DocumentJson.mapper().createObjectNode();
        tree.put("previous", previous);
        ArrayNode list = tree.putArray("entries");
        entries.forEach(entry -> list.add(DocumentJson.mapper().<JsonNode>valueToTree(entry)));
        return tree;
    }

    /**
     * Reads a trail from a JSON tree.
     *
     * @param <T> the type of the entries
     * @param tree the tree, not null
     * @param type the class of the entries, not null
     * @return the trail, never null
     * @throws ServingException with {@link ErrorKind#INVALID_DOCUMENT} if the tree is not a trail
     */
    static <T extends TrailEntry> Trail<T> fromTree(JsonNode tree, Class<T> type) {
        List<T> entries = new ArrayList<>();
        tree.path("entries").forEach(node -> entries.add(DocumentJson.convert(node, type)));
        return new Trail<>(tree.path("previous").asText(), entries);
    }
}
