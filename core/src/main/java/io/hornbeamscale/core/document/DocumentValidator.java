package io.hornbeamscale.core.document;

import io.hornbeamscale.core.util.Arguments;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds all errors in a document: values that are not allowed, duplicates, and references to missing entities. */
public final class DocumentValidator {
    /**
     * The maximum size of a canonical text, in bytes of UTF-8. A value of the store has at most 1 MB and must hold the
     * document, the earlier states of all entities that one change replaces (at most the same size again), and the
     * names of the entities that it adds.
     */
    public static final int MAX_DOCUMENT_BYTES = 400_000;

    private final Document document;
    private final List<DocumentProblem> problems = new ArrayList<>();

    private DocumentValidator(Document document) {
        this.document = document;
    }

    /**
     * Validates a document.
     *
     * @param document the document, not null
     * @return all errors, empty if the document may be published, never null
     */
    public static List<DocumentProblem> validate(Document document) {
        Arguments.notNull(document, "document");
        DocumentValidator validator = new DocumentValidator(document);
        validator.checkFields();
        validator.checkDuplicates();
        validator.problems.addAll(ReferenceCheck.check(document));
        validator.checkSize();
        return List.copyOf(validator.problems);
    }

    private void checkFields() {
        for (EntityKind kind : EntityKind.values()) {
            List<? extends Entity> entities = kind.of(document);
            for (int i = 0; i < entities.size(); i++) {
                checkRecord(kind.type(), entities.get(i), kind.section() + "[" + i + "]");
            }
        }
        checkRecord(LimitsSpec.class, document.limits(), DocumentJson.LIMITS);
    }

    private void checkRecord(Class<?> type, Object instance, String path) {
        for (EntityField field : EntityFields.of(type)) {
            checkField(field, field.valueOf(instance), path + "." + field.name());
        }
    }

    private void checkField(EntityField field, Object value, String path) {
        if (value instanceof List<?> texts) {
            checkTexts(field, texts, path);
        } else if (!isAllowed(field, value)) {
            String shown = value instanceof Double number ? DocumentJson.numberText(number) : String.valueOf(value);
            problems.add(new DocumentProblem(path, value == null ? "" : shown, field.allowed()));
        }
    }

    private void checkTexts(EntityField field, List<?> texts, String path) {
        if (texts.size() < field.rule().minItems()
                || texts.size() > field.rule().maxItems()) {
            problems.add(new DocumentProblem(path, texts.isEmpty() ? "" : texts.size() + " texts", field.allowed()));
        }
        Set<Object> seen = new HashSet<>();
        for (int i = 0; i < texts.size(); i++) {
            String text = String.valueOf(texts.get(i));
            if (!field.rule().format().isMatchedBy(text)) {
                problems.add(new DocumentProblem(
                        path + "[" + i + "]", text, field.rule().format().allowed()));
            } else if (!seen.add(text)) {
                problems.add(new DocumentProblem(path + "[" + i + "]", text, "each text once"));
            }
        }
    }

    private static boolean isAllowed(EntityField field, Object value) {
        FieldRule rule = field.rule();
        if (value instanceof Number number) {
            return number.doubleValue() >= rule.min() && number.doubleValue() <= rule.max();
        }
        if (value instanceof String text) {
            return text.isEmpty() ? rule.optional() : rule.format().isMatchedBy(text);
        }
        return value != null;
    }

    private void checkDuplicates() {
        for (EntityKind kind : EntityKind.values()) {
            Map<String, String> firstPaths = new HashMap<>();
            List<? extends Entity> entities = kind.of(document);
            for (int i = 0; i < entities.size(); i++) {
                reportIfRepeated(firstPaths, entities.get(i).name(), kind.section() + "[" + i + "].name", "a name");
            }
        }
        checkUnique(EntityKind.CUSTOMER, "keyHashes", "a key of one customer");
        checkUnique(EntityKind.BACKEND, "address", "an address");
        checkUnique(EntityKind.REGION, "zones", "an availability zone of one region");
    }

    private void checkUnique(EntityKind kind, String fieldName, String what) {
        EntityField field = EntityFields.of(kind.type()).stream()
                .filter(candidate -> candidate.name().equals(fieldName))
                .findFirst()
                .orElseThrow();
        Map<String, String> firstPaths = new HashMap<>();
        List<? extends Entity> entities = kind.of(document);
        for (int i = 0; i < entities.size(); i++) {
            String path = kind.section() + "[" + i + "]." + fieldName;
            for (String text : new HashSet<>(field.textsOf(entities.get(i)))) {
                reportIfRepeated(firstPaths, text, path, what);
            }
        }
    }

    private void reportIfRepeated(Map<String, String> firstPaths, String text, String path, String what) {
        String earlier = firstPaths.putIfAbsent(text, path);
        if (earlier != null && !text.isEmpty()) {
            problems.add(new DocumentProblem(
                    path, text, what + " that is used only once; it is already used at " + earlier));
        }
    }

    private void checkSize() {
        int bytes = DocumentJson.canonical(document).getBytes(StandardCharsets.UTF_8).length;
        if (bytes > MAX_DOCUMENT_BYTES) {
            problems.add(new DocumentProblem(
                    "document", bytes + " bytes", "at most " + MAX_DOCUMENT_BYTES + " bytes when stored"));
        }
    }
}
