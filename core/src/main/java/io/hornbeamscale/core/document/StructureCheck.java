package io.hornbeamscale.core.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Checks the keys and value types of a tree before it is bound to records. Values of the wrong type are left out of the
 * cleaned tree, so that the rest can still be bound and validated, and a single run reports all errors.
 */
final class StructureCheck {
    private static final List<String> SECTIONS = Stream.concat(
                    Stream.of(EntityKind.values()).map(EntityKind::section), Stream.of(DocumentJson.LIMITS))
            .toList();

    private final List<DocumentProblem> problems = new ArrayList<>();

    List<DocumentProblem> problems() {
        return problems;
    }

    /**
     * Tells whether an error was already reported for a value, for the list that contains it, or for one of its items.
     */
    boolean hasReported(String path) {
        return problems.stream().anyMatch(problem -> isWithin(path, problem.path()) || isWithin(problem.path(), path));
    }

    private static boolean isWithin(String path, String outer) {
        return path.startsWith(outer)
                && (path.length() == outer.length() || "[.".indexOf(path.charAt(outer.length())) >= 0);
    }

    ObjectNode cleaned(ObjectNode root) {
        ObjectNode cleaned = JsonNodeFactory.instance.objectNode();
        for (Map.Entry<String, JsonNode> section : root.properties()) {
            EntityKind kind = EntityKind.ofSection(section.getKey());
            JsonNode value = section.getValue();
            if (value.isNull() && SECTIONS.contains(section.getKey())) {
                continue;
            }
            if (kind != null) {
                cleaned.set(section.getKey(), cleanedEntities(kind, value));
            } else if (DocumentJson.LIMITS.equals(section.getKey())) {
                cleaned.set(section.getKey(), cleanedRecord(LimitsSpec.class, DocumentJson.LIMITS, value));
            } else {
                reject(section.getKey(), value, "no such key; the sections are " + String.join(", ", SECTIONS));
            }
        }
        return cleaned;
    }

    private ArrayNode cleanedEntities(EntityKind kind, JsonNode list) {
        ArrayNode cleaned = JsonNodeFactory.instance.arrayNode();
        if (!list.isArray()) {
            reject(kind.section(), list, "a list");
            return cleaned;
        }
        for (int i = 0; i < list.size(); i++) {
            cleaned.add(cleanedRecord(kind.type(), kind.section() + "[" + i + "]", list.get(i)));
        }
        return cleaned;
    }

    private ObjectNode cleanedRecord(Class<?> type, String path, JsonNode node) {
        ObjectNode cleaned = JsonNodeFactory.instance.objectNode();
        List<EntityField> fields = EntityFields.of(type);
        if (!node.isObject()) {
            reject(path, node, "a map with the keys " + fieldNames(fields));
        }
        for (EntityField field : fields) {
            JsonNode value = node.path(field.name());
            String fieldPath = path + "." + field.name();
            if (!value.isMissingNode() && !value.isNull()) {
                copyField(field, fieldPath, value, cleaned);
            } else if (!field.rule().optional() && node.isObject()) {
                problems.add(new DocumentProblem(fieldPath, "", field.allowed()));
            }
        }
        for (Map.Entry<String, JsonNode> property : node.properties()) {
            if (fields.stream().noneMatch(field -> field.name().equals(property.getKey()))) {
                reject(
                        path + "." + property.getKey(),
                        property.getValue(),
                        "no such key; the keys are " + fieldNames(fields));
            }
        }
        return cleaned;
    }

    private static String fieldNames(List<EntityField> fields) {
        return fields.stream().map(EntityField::name).collect(Collectors.joining(", "));
    }

    private void copyField(EntityField field, String path, JsonNode value, ObjectNode cleaned) {
        if (field.type() == FieldType.TEXT_LIST && value.isArray()) {
            ArrayNode texts = cleaned.putArray(field.name());
            for (int i = 0; i < value.size(); i++) {
                if (value.get(i).isTextual()) {
                    texts.add(value.get(i));
                } else {
                    reject(
                            path + "[" + i + "]",
                            value.get(i),
                            field.rule().format().allowed());
                }
            }
        } else if (hasFieldType(field, value)) {
            cleaned.set(field.name(), value);
        } else {
            reject(path, value, field.allowed());
        }
    }

    /** Also checks that a number fits the Java type, since binding would otherwise fail or change the number. */
    private static boolean hasFieldType(EntityField field, JsonNode value) {
        return switch (field.type()) {
            case TEXT -> value.isTextual();
            case TEXT_LIST -> false;
            case INTEGER ->
                value.isIntegralNumber()
                        && (field.accessor().getReturnType() == int.class
                                ? value.canConvertToInt()
                                : value.canConvertToLong());
            case DECIMAL -> value.isNumber() && Double.isFinite(value.doubleValue());
            case FLAG -> value.isBoolean();
            case CHOICE -> value.isTextual() && field.choices().contains(value.asText());
        };
    }

    private void reject(String path, JsonNode value, String allowed) {
        problems.add(new DocumentProblem(path, value.isValueNode() ? value.asText() : value.toString(), allowed));
    }
}
