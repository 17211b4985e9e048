package io.hornbeamscale.core.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The differences between two documents, by entity. Applied to the first document they result in the second, except for
 * the order of entities.
 *
 * @param changes the changes, ordered by section and name
 */
public record DocumentDiff(List<EntityChange> changes) {
    /** Copies the list. */
    public DocumentDiff {
        changes = NullToEmpty.list(changes);
    }

    /**
     * Compares two documents.
     *
     * @param before the earlier document, not null
     * @param after the later document, not null
     * @return the differences, never null
     */
    public static DocumentDiff between(Document before, Document after) {
        Arguments.notNull(before, "before");
        Arguments.notNull(after, "after");
        List<EntityChange> changes = new ArrayList<>();
        for (EntityKind kind : EntityKind.values()) {
            compare(kind, kind.of(before), kind.of(after), changes);
        }
        if (!before.limits().equals(after.limits())) {
            changes.add(new EntityChange(null, DocumentJson.LIMITS, before.limits(), after.limits()));
        }
        return new DocumentDiff(changes);
    }

    private static void compare(
            EntityKind kind, List<? extends Entity> before, List<? extends Entity> after, List<EntityChange> changes) {
        Map<String, Entity> beforeByName = byName(before);
        Map<String, Entity> afterByName = byName(after);
        Map<String, Entity> allByName = new TreeMap<>(beforeByName);
        allByName.putAll(afterByName);
        for (String name : allByName.keySet()) {
            Entity old = beforeByName.get(name);
            Entity current = afterByName.get(name);
            if (old == null || !old.equals(current)) {
                changes.add(new EntityChange(kind, name, (Record) old, (Record) current));
            }
        }
    }

    private static Map<String, Entity> byName(List<? extends Entity> entities) {
        Map<String, Entity> byName = new HashMap<>();
        entities.forEach(entity -> byName.put(entity.name(), entity));
        return byName;
    }

    /**
     * Tells whether the documents have the same content.
     *
     * @return true if there are no differences
     */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /**
     * Applies the changes: added and changed entities get their later state, removed entities are deleted.
     *
     * @param document the document to change, not null
     * @return the changed document with entities ordered by name, never null
     */
    public Document applyTo(Document document) {
        Arguments.notNull(document, "document");
        Map<EntityKind, Map<String, Entity>> entities = new EnumMap<>(EntityKind.class);
        for (EntityKind kind : EntityKind.values()) {
            entities.put(kind, new TreeMap<>(byName(kind.of(document))));
        }
        LimitsSpec limits = document.limits();
        for (EntityChange change : changes) {
            if (change.kind() == null) {
                limits = (LimitsSpec) change.after();
            } else if (change.isRemoved()) {
                entities.get(change.kind()).remove(change.name());
            } else {
                entities.get(change.kind()).put(change.name(), (Entity) change.after());
            }
        }
        return new Document(
                list(entities, EntityKind.SERVICE, ServiceSpec.class),
                list(entities, EntityKind.CUSTOMER, CustomerSpec.class),
                list(entities, EntityKind.MODEL, ModelSpec.class),
                list(entities, EntityKind.WORK_KIND, WorkKindSpec.class),
                list(entities, EntityKind.BACKEND, BackendSpec.class),
                list(entities, EntityKind.REGION, RegionSpec.class),
                limits);
    }

    private static <T> List<T> list(Map<EntityKind, Map<String, Entity>> entities, EntityKind kind, Class<T> type) {
        return entities.get(kind).values().stream().map(type::cast).toList();
    }

    /**
     * Returns the changes that undo these ones.
     *
     * @return the differences from the later to the earlier document, never null
     */
    public DocumentDiff inverse() {
        return new DocumentDiff(changes.stream()
                .map(change -> new EntityChange(change.kind(), change.name(), change.after(), change.before()))
                .toList());
    }

    /**
     * Returns the entities that both sets of changes affect.
     *
     * @param other the differences between the same earlier document and another one, not null
     * @return identifiers as in {@link EntityChange#id()}, sorted, never null
     */
    public List<String> overlap(DocumentDiff other) {
        Set<String> mine = changes.stream().map(EntityChange::id).collect(Collectors.toSet());
        return other.changes.stream()
                .map(EntityChange::id)
                .filter(mine::contains)
                .sorted()
                .toList();
    }

    /**
     * Serializes what another node needs to apply the changes: the later state of each added or changed entity, and the
     * names of removed ones.
     *
     * @return JSON text, never null
     */
    public String toJson() {
        ArrayNode list = DocumentJson.mapper().createArrayNode();
        for (EntityChange change : changes) {
            ObjectNode node = list.addObject();
            node.put("section", change.section());
            node.put("name", change.name());
            if (!change.isRemoved()) {
                node.set("after", DocumentJson.mapper().valueToTree(change.after()));
            }
        }
        return DocumentJson.write(list);
    }

    /**
     * Reads changes that {@link #toJson()} wrote. The earlier states of the entities are unknown.
     *
     * @param json the text, not null
     * @return the changes, never null
     * @throws ServingException with {@link ErrorKind#INVALID_DOCUMENT} if the text is not a list of changes
     */
    public static DocumentDiff fromJson(String json) {
        List<EntityChange> changes = new ArrayList<>();
        for (JsonNode node : DocumentJson.parse(json)) {
            String section = node.path("section").asText();
            EntityKind kind = EntityKind.ofSection(section);
            String name = node.path("name").asText();
            boolean isLimits = DocumentJson.LIMITS.equals(section);
            if (name.isBlank() || (kind == null && !isLimits) || (isLimits && !node.has("after"))) {
                throw new ServingException(ErrorKind.INVALID_DOCUMENT, "not a change: " + node);
            }
            changes.add(toChange(kind, name, node.get("after")));
        }
        return new DocumentDiff(changes);
    }

    private static EntityChange toChange(EntityKind kind, String name, JsonNode after) {
        if (after == null) {
            return new EntityChange(kind, name, null, null);
        }
        Class<?> type = kind == null ? LimitsSpec.class : kind.type();
        return new EntityChange(kind, name, null, (Record) DocumentJson.convert(after, type));
    }
}
