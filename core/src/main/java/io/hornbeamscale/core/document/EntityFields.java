package io.hornbeamscale.core.document;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Looks up the fields of entities and of the limits. */
public final class EntityFields {
    private static final Map<Class<?>, List<EntityField>> FIELDS = fields();

    private EntityFields() {}

    /**
     * Returns the fields of a record class.
     *
     * @param type the class of an entity or of the limits
     * @return the fields in the order of the record components, never null
     * @throws IllegalArgumentException if the class is not a part of the document
     */
    public static List<EntityField> of(Class<?> type) {
        List<EntityField> fields = FIELDS.get(type);
        if (fields == null) {
            throw new IllegalArgumentException("type must be a part of the document: " + type);
        }
        return fields;
    }

    private static Map<Class<?>, List<EntityField>> fields() {
        Map<Class<?>, List<EntityField>> fields = new LinkedHashMap<>();
        for (EntityKind kind : EntityKind.values()) {
            fields.put(kind.type(), fieldsOf(kind.type()));
        }
        fields.put(LimitsSpec.class, fieldsOf(LimitsSpec.class));
        return fields;
    }

    private static List<EntityField> fieldsOf(Class<?> type) {
        return Stream.of(type.getRecordComponents()).map(EntityField::of).toList();
    }
}
