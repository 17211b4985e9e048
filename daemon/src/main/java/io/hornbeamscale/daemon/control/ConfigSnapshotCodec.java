package io.hornbeamscale.daemon.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamscale.core.distribute.ConfigSnapshot;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.document.EntityKind;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Converts the store's value to snapshots, and snapshots to documents. Entities keep fields that this release does not
 * know, so that an older node forwards everything that a newer node wrote.
 */
final class ConfigSnapshotCodec {
    private static final String LIMITS = "limits";
    private static final int FORMAT = 1;

    private ConfigSnapshotCodec() {}

    /**
     * Decodes the store's value.
     *
     * @throws ServingException with {@link ErrorKind#INVALID_DOCUMENT} if the text is malformed or has another format
     */
    static ConfigSnapshot decodeStoreValue(String text, long revision) {
        JsonNode tree = DocumentJson.parse(text);
        if (tree.path("format").asInt() != FORMAT) {
            throw new ServingException(
                    ErrorKind.INVALID_DOCUMENT,
                    "the document has format " + tree.path("format").asText() + "; this release reads " + FORMAT);
        }
        return fromTree(tree.path("document"), tree.path("version").asLong(), revision);
    }

    /**
     * Returns the document of a snapshot.
     *
     * @throws ServingException with {@link ErrorKind#INVALID_DOCUMENT} if the entities do not form a document
     */
    static Document toDocument(ConfigSnapshot snapshot) {
        return DocumentJson.read(toTree(snapshot));
    }

    private static ConfigSnapshot fromTree(JsonNode document, long version, long revision) {
        Map<String, String> entities = new HashMap<>();
        for (EntityKind kind : EntityKind.values()) {
            for (JsonNode entity : document.path(kind.section())) {
                entities.put(kind.section() + "/" + entity.path("name").asText(), DocumentJson.write(entity));
            }
        }
        if (document.has(LIMITS)) {
            entities.put(LIMITS, DocumentJson.write(document.get(LIMITS)));
        }
        return new ConfigSnapshot(version, revision, entities);
    }

    private static ObjectNode toTree(ConfigSnapshot snapshot) {
        ObjectNode tree = DocumentJson.mapper().createObjectNode();
        Map<String, ArrayNode> sections = new HashMap<>();
        for (EntityKind kind : EntityKind.values()) {
            sections.put(kind.section(), tree.putArray(kind.section()));
        }
        new TreeMap<>(snapshot.entities()).forEach((name, text) -> {
            int slash = name.indexOf('/');
            ArrayNode section = slash < 0 ? null : sections.get(name.substring(0, slash));
            if (section != null) {
                section.add(DocumentJson.parse(text));
            } else if (name.equals(LIMITS)) {
                tree.set(LIMITS, DocumentJson.parse(text));
            }
        });
        return tree;
    }
}
