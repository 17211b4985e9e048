package io.hornbeamscale.console;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.document.DocumentProblem;
import io.hornbeamscale.core.document.DocumentReadResult;
import io.hornbeamscale.core.document.DocumentYaml;
import io.hornbeamscale.core.document.EntityField;
import io.hornbeamscale.core.document.FieldType;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The values of a form for an entity or for the limits, as texts. Immutable. */
final class EntityForm {
    static final String ORIGINAL_FIELD = "original";
    static final String REMOVE_FIELD = "remove";

    private final DocumentSection section;
    private final Map<String, List<String>> values;
    private final String original;
    private final boolean isRemoval;

    private EntityForm(DocumentSection section, Map<String, List<String>> values, String original, boolean isRemoval) {
        this.section = section;
        this.values = values;
        this.original = original;
        this.isRemoval = isRemoval;
    }

    /** Returns the form of an existing entity, or of a new one if the entity is null. */
    static EntityForm of(DocumentSection section, Record entity, String name) {
        Map<String, List<String>> values = new LinkedHashMap<>();
        if (entity != null) {
            section.fields().forEach(field -> values.put(field.name(), field.textsOf(entity)));
        }
        return new EntityForm(section, values, name, false);
    }

    /** Returns the form that an operator submitted. */
    static EntityForm of(DocumentSection section, ConsoleRequest request) {
        Map<String, List<String>> values = new LinkedHashMap<>();
        for (EntityField field : section.fields()) {
            List<String> texts = new ArrayList<>();
            for (String text : request.fields().getOrDefault(field.name(), List.of())) {
                text.lines().map(String::trim).filter(line -> !line.isEmpty()).forEach(texts::add);
            }
            values.put(field.name(), List.copyOf(texts));
        }
        return new EntityForm(section, values, request.firstValue(ORIGINAL_FIELD), request.hasField(REMOVE_FIELD));
    }

    DocumentSection section() {
        return section;
    }

    boolean isRemoval() {
        return isRemoval;
    }

    String original() {
        return original;
    }

    List<String> values(String field) {
        return values.getOrDefault(field, List.of());
    }

    /** Returns a copy of the form with one more value of a field. */
    EntityForm with(String field, String value) {
        Map<String, List<String>> extended = new LinkedHashMap<>(values);
        List<String> texts = new ArrayList<>(values(field));
        texts.add(value);
        extended.put(field, texts);
        return new EntityForm(section, extended, original, isRemoval);
    }

    /** Returns all fields for hidden inputs, so that no input is lost between pages. */
    Map<String, List<String>> hiddenFields() {
        Map<String, List<String>> fields = new LinkedHashMap<>(values);
        fields.put(ORIGINAL_FIELD, List.of(original));
        if (isRemoval) {
            fields.put(REMOVE_FIELD, List.of("yes"));
        }
        return fields;
    }

    /** Applies the form to a document: adds, replaces or removes the entity, or replaces the limits. */
    DocumentReadResult applyTo(Document document) {
        ObjectNode tree = DocumentJson.tree(document);
        if (section.kind() == null) {
            tree.set(section.key(), toNode());
        } else {
            applyChange((ArrayNode) tree.get(section.key()));
        }
        return DocumentYaml.readTree(tree);
    }

    private void applyChange(ArrayNode entities) {
        int index = indexOf(entities);
        if (isRemoval) {
            if (index < entities.size()) {
                entities.remove(index);
            }
        } else if (index < entities.size()) {
            entities.set(index, toNode());
        } else {
            entities.add(toNode());
        }
    }

    /** Returns the index of the edited entity, or the size of the list for a new one. */
    private int indexOf(ArrayNode entities) {
        int index = 0;
        for (JsonNode entity : entities) {
            if (!original.isEmpty() && original.equals(entity.path("name").asText())) {
                return index;
            }
            index++;
        }
        return index;
    }

    private ObjectNode toNode() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        for (EntityField field : section.fields()) {
            List<String> texts = values(field.name());
            if (field.type() == FieldType.TEXT_LIST) {
                texts.forEach(node.putArray(field.name())::add);
            } else if (field.type() == FieldType.FLAG) {
                node.put(field.name(), !texts.isEmpty() && !texts.get(0).equals("false"));
            } else if (!texts.isEmpty()) {
                node.set(field.name(), toScalarNode(field, texts.get(0)));
            }
        }
        return node;
    }

    /** Converts a text to a scalar. A malformed number stays a text, which the validation of the document reports. */
    private static JsonNode toScalarNode(EntityField field, String text) {
        JsonNodeFactory factory = JsonNodeFactory.instance;
        boolean isNumber = field.type() == FieldType.INTEGER || field.type() == FieldType.DECIMAL;
        if (!isNumber || !text.matches("-?[0-9]{1,18}(\\.[0-9]{1,9})?")) {
            return factory.textNode(text);
        }
        return text.indexOf('.') >= 0
                ? factory.numberNode(new BigDecimal(text).doubleValue())
                : factory.numberNode(Long.parseLong(text));
    }

    /** Returns the field of this form that a problem is about, empty if the problem is elsewhere in the document. */
    Optional<String> fieldOf(DocumentProblem problem, Document before) {
        String prefix = section.key() + ".";
        if (section.kind() != null) {
            ArrayNode entities = (ArrayNode) DocumentJson.tree(before).get(section.key());
            prefix = section.key() + "[" + indexOf(entities) + "].";
        }
        if (isRemoval || !problem.path().startsWith(prefix)) {
            return Optional.empty();
        }
        String rest = problem.path().substring(prefix.length());
        int bracket = rest.indexOf('[');
        return Optional.of(bracket < 0 ? rest : rest.substring(0, bracket));
    }
}
