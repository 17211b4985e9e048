package io.hornbeamscale.core.audit;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentDiff;
import io.hornbeamscale.core.document.DocumentIndex;
import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.document.Entity;
import io.hornbeamscale.core.document.EntityChange;
import io.hornbeamscale.core.document.EntityKind;
import io.hornbeamscale.core.document.LimitsSpec;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;
import java.util.List;
import java.util.Map;

/**
 * The change of one entity as it is stored in the audit trail, with enough information to display and to undo it. The
 * later state of an added entity is not stored, since the document of that version contains it. Field names in the
 * stored text are short, since a change of all entities must fit into one value of the store.
 *
 * @param operation the kind of change
 * @param section the section of the document, {@code limits} for the limits
 * @param name the name of the entity, {@code limits} for the limits
 * @param before the removed entity, or the earlier values of changed fields; null if added
 * @param after the later values of changed fields; null if added, removed, or omitted from a very large record
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record RecordedChange(
        @JsonProperty("op") Operation operation,
        @JsonProperty("in") String section,
        @JsonProperty("name") String name,
        @JsonProperty("old") JsonNode before,
        @JsonProperty("new") JsonNode after) {
    /** The kinds of changes. */
    public enum Operation {
        /** The entity was added. */
        @JsonProperty("+")
        ADDED,
        /** The entity was removed. */
        @JsonProperty("-")
        REMOVED,
        /** Values of fields changed. */
        @JsonProperty("*")
        CHANGED
    }

    /** Replaces JSON null by null. */
    public RecordedChange {
        before = before == null || before.isNull() ? null : before;
        after = after == null || after.isNull() ? null : after;
    }

    /**
     * Converts a change.
     *
     * @param change the change including the earlier state of the entity, not null
     * @return the recorded change, never null
     */
    public static RecordedChange of(EntityChange change) {
        if (change.isAdded()) {
            return new RecordedChange(Operation.ADDED, change.section(), change.name(), null, null);
        }
        ObjectNode before = DocumentJson.mapper().valueToTree(change.before());
        if (change.isRemoved()) {
            return new RecordedChange(Operation.REMOVED, change.section(), change.name(), before, null);
        }
        ObjectNode after = DocumentJson.mapper().valueToTree(change.after());
        ObjectNode changedBefore = DocumentJson.mapper().createObjectNode();
        ObjectNode changedAfter = DocumentJson.mapper().createObjectNode();
        for (Map.Entry<String, JsonNode> field : before.properties()) {
            JsonNode value = after.get(field.getKey());
            if (!field.getValue().equals(value)) {
                changedBefore.set(field.getKey(), field.getValue());
                changedAfter.set(field.getKey(), value);
            }
        }
        return new RecordedChange(Operation.CHANGED, change.section(), change.name(), changedBefore, changedAfter);
    }

    /**
     * Returns the change without the later values, which can be derived from later versions of the document.
     *
     * @return a smaller change, never null
     */
    RecordedChange withoutAfter() {
        return new RecordedChange(operation, section, name, before, null);
    }

    /**
     * Undoes the changes of one version.
     *
     * @param changes the changes that led to the document, not null
     * @param document the later document, not null
     * @return the earlier document, never null
     * @throws ServingException with {@link ErrorKind#INTERNAL} if a changed entity is missing from the document
     */
    static Document undo(List<RecordedChange> changes, Document document) {
        DocumentIndex index = new DocumentIndex(document);
        List<EntityChange> inverseChanges =
                changes.stream().map(change -> change.inverse(index)).toList();
        return new DocumentDiff(inverseChanges).applyTo(document);
    }

    private EntityChange inverse(DocumentIndex index) {
        EntityKind kind = EntityKind.ofSection(section);
        if (operation == Operation.ADDED) {
            return new EntityChange(kind, name, null, null);
        }
        Class<?> type = kind == null ? LimitsSpec.class : kind.type();
        if (operation == Operation.REMOVED) {
            return new EntityChange(kind, name, null, (Record) DocumentJson.convert(before, type));
        }
        Object current = kind == null
                ? index.document().limits()
                : index.find(kind, name).map(Entity.class::cast).orElseThrow(this::missingEntity);
        ObjectNode tree = DocumentJson.mapper().valueToTree(current);
        before.properties().forEach(field -> tree.set(field.getKey(), field.getValue()));
        return new EntityChange(kind, name, null, (Record) DocumentJson.convert(tree, type));
    }

    private ServingException missingEntity() {
        return new ServingException(
                ErrorKind.INTERNAL, "the audit trail changes " + section + "/" + name + ", which does not exist");
    }
}
