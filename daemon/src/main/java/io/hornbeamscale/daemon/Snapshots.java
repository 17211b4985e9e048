package io.hornbeamscale.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamscale.core.audit.PublishedHead;
import io.hornbeamscale.core.distribute.ConfigSnapshot;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentJson;
import java.util.Map;
import java.util.TreeMap;

/** Converts documents to named entities, the form in which nodes exchange differences, and back. */
final class Snapshots {
    private Snapshots() {}

    /** Returns the snapshot of a published value of the store. */
    static ConfigSnapshot of(String value, long revision) {
        PublishedHead head = PublishedHead.decode(value);
        Map<String, String> entities = new TreeMap<>();
        ObjectNode tree = DocumentJson.tree(head.document());
        for (Map.Entry<String, JsonNode> field : tree.properties()) {
            if (field.getValue().isArray()) {
                for (JsonNode entity : field.getValue()) {
                    entities.put(field.getKey() + "/" + entity.path("name").asText(), entity.toString());
                }
            } else {
                entities.put(field.getKey(), field.getValue().toString());
            }
        }
        return new ConfigSnapshot(head.version(), revision, entities);
    }

    /** Returns the document of a snapshot. Entities are in the order of their names. */
    static Document document(ConfigSnapshot snapshot) {
        ObjectNode tree = DocumentJson.mapper().createObjectNode();
        new TreeMap<>(snapshot.entities()).forEach((name, text) -> {
            int slash = name.indexOf('/');
            JsonNode node = DocumentJson.parse(text);
            if (slash < 0) {
                tree.set(name, node);
            } else {
                tree.withArray("/" + name.substring(0, slash)).add(node);
            }
        });
        return DocumentJson.read(tree);
    }
}
