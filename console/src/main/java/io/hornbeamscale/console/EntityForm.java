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

/** The values of one form: an entity, or the limits, as texts. Immutable. */
final class EntityForm {
    static final String ORIGINAL = "original";
    static final String REMOVE = "remove";

    private final Section section;
    private final Map<String, List<String>> values;
    private final String original;
    private final boolean isRemoval;

    private EntityForm(Section section, Map<String, List<String>> values, String original, boolean isRemoval) {
        this.section = section;
        this.values = values;
        this.original = original;
        this.isRemoval = isRemoval;
    }

    /** Returns the form of an entity that exists; null stands for a new one. */
    static EntityForm of(Section section, Record entity, String name) {
        Map<String, List<String>> values = new LinkedHashMap<>();
        if (entity != null) {
            section.fields().forEach(field -> values.put(field.name(), field.textsOf(entity)));
        }
        return new EntityForm(section, values, name, false);
    }

    /** Returns the form that an operator sent. */
    static EntityForm of(Section section, ConsoleRequest request) {
        Map<String, List<String>> values = new LinkedHashMap<>();
        for (EntityField field : section.fields()) {
            List<String> texts = new ArrayList<>();
            for (String text : request.fields().getOrDefault(field.name(), List.of())) {
                text.lines().map(String::trim).filter(line -> !line.isEmpty()).forEach(texts::add);
            }
            values.put(field.name(), List.copyOf(texts));
        }
        return new EntityForm(section, values, request.first(ORIGINAL), request.has(REMOVE));
    }

    Section section() {
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

    /** Returns the form with one more value of a field. */
    EntityForm with(String field, String value) {
        Map<String, List<String>> more = new LinkedHashMap<>(values);
        List<String> texts = new ArrayList<>(values(field));
        texts.add(value);
        more.put(field, texts);
        return new EntityForm(section, more, original, isRemoval);
    }

    /** Returns all fields for hidden inputs, so that nothing typed is lost between pages. */
    Map<String, List<String>> kept() {
        Map<String, List<String>> kept = new LinkedHashMap<>(values);
        kept.put(ORIGINAL, List.of(original));
        if (isRemoval) {
            kept.put(REMOVE, List.of("yes"));
        }
        return kept;
    }

    /** Puts the form's values into a document. */
    DocumentReadResult applyTo(Document document) {
        ObjectNode tree = DocumentJson.tree(document);
        if (section.kind() == null) {
            tree.set(section.key(), node());
        } else {
            change((ArrayNode) tree.get(section.key()));
        }
        return DocumentYaml.readTree(tree);
    }

    private void change(ArrayNode entities) {
        int index = index(entities);
        if (isRemoval) {
            if (index < entities.size()) {
                entities.remove(index);
            }
        } else if (index < entities.size()) {
            entities.set(index, node());
        } else {
            entities.add(node());
        }
    }

    private int index(ArrayNode entities) {
        int index = 0;
        for (JsonNode entity : entities) {
            if (!original.isEmpty() && original.equals(entity.path("name").asText())) {
                return index;
            }
            index++;
        }
        return index;
    }

    private ObjectNode node() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        for (EntityField field : section.fields()) {
            List<String> texts = values(field.name());
            if (field.type() == FieldType.TEXT_LIST) {
                texts.forEach(node.putArray(field.name())::add);
            } else if (field.type() == FieldType.FLAG) {
                node.put(field.name(), !texts.isEmpty() && !texts.get(0).equals("false"));
            } else if (!texts.isEmpty()) {
                node.set(field.name(), single(field, texts.get(0)));
            }
        }
        return node;
    }

    /** A text that is no number stays a text, which the document's check reports with what is allowed. */
    private static JsonNode single(EntityField field, String text) {
        JsonNodeFactory factory = JsonNodeFactory.instance;
        boolean isNumber = field.type() == FieldType.INTEGER || field.type() == FieldType.DECIMAL;
        if (!isNumber || !text.matches("-?[0-9]{1,18}(\\.[0-9]{1,9})?")) {
            return factory.textNode(text);
        }
        return text.indexOf('.') >= 0
                ? factory.numberNode(new BigDecimal(text).doubleValue())
                : factory.numberNode(Long.parseLong(text));
    }

    /** Returns the field that a problem is about, empty if it is elsewhere in the document. */
    Optional<String> fieldOf(DocumentProblem problem, Document before) {
        String prefix = section.key() + ".";
        if (section.kind() != null) {
            ArrayNode entities = (ArrayNode) DocumentJson.tree(before).get(section.key());
            prefix = section.key() + "[" + index(entities) + "].";
        }
        if (isRemoval || !problem.path().startsWith(prefix)) {
            return Optional.empty();
        }
        String rest = problem.path().substring(prefix.length());
        int bracket = rest.indexOf('[');
        return Optional.of(bracket < 0 ? rest : rest.substring(0, bracket));
    }
}
