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
 * The change of one entity as the audit trail keeps it: enough to show it and to undo it. The later state of an added
 * entity is not repeated, since the document of that version has it.
 * Names in the stored text are short, since a change of everything must fit into one value.
 *
 * @param operation what happened
 * @param section the section of the document, {@code limits} for the limits
 * @param name the name of the entity, {@code limits} for the limits
 * @param before the removed entity, or the earlier values of changed fields; null if added
 * @param after the later values of changed fields; null if added, removed, or left out of a very large record
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record RecordedChange(
        @JsonProperty("op") Operation operation,
        @JsonProperty("in") String section,
        @JsonProperty("name") String name,
        @JsonProperty("old") JsonNode before,
        @JsonProperty("new") JsonNode after) {
    /** What happened to an entity. */
    public enum Operation {
        /** The entity is new. */
        @JsonProperty("+")
        ADDED,
        /** The entity is gone. */
        @JsonProperty("-")
        REMOVED,
        /** Fields of the entity have other values. */
        @JsonProperty("*")
        CHANGED
    }

    /** Treats JSON's null as absent. */
    public RecordedChange {
        before = before == null || before.isNull() ? null : before;
        after = after == null || after.isNull() ? null : after;
    }

    /**
     * Records a change.
     *
     * @param change the change with its earlier state, not null
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
     * Leaves out what later versions of the document tell anyway.
     *
     * @return the change without later values, never null
     */
    RecordedChange withoutAfter() {
        return new RecordedChange(operation, section, name, before, null);
    }

    /**
     * Undoes changes.
     *
     * @param changes the changes that led to the document, not null
     * @param document the later document, not null
     * @return the earlier document, never null
     * @throws ServingException with {@link ErrorKind#INTERNAL} if the changes did not lead to the document
     */
    static Document undo(List<RecordedChange> changes, Document document) {
        DocumentIndex index = new DocumentIndex(document);
        List<EntityChange> back =
                changes.stream().map(change -> change.inverse(index)).toList();
        return new DocumentDiff(back).applyTo(document);
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
