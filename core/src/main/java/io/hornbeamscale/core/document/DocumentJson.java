package io.hornbeamscale.core.document;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.util.Arguments;
import java.math.BigDecimal;
import java.util.Comparator;
import java.util.List;

/**
 * Reads and writes the canonical text of documents: JSON without white space, keys in the order of the record
 * components, entities sorted by name. Two documents have the same content if and only if their canonical texts are
 * equal.
 */
public final class DocumentJson {
    static final String LIMITS = "limits";

    /** Ignores unknown fields, so that documents of a newer release can be read. */
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private DocumentJson() {}

    /**
     * Returns the mapper for the document and parts of it.
     *
     * @return the mapper, shared and not to be reconfigured
     */
    public static JsonMapper mapper() {
        return MAPPER;
    }

    /**
     * Returns the canonical text.
     *
     * @param document the document, not null
     * @return the text, never null
     */
    public static String canonical(Document document) {
        return write(tree(document));
    }

    /**
     * Returns the SHA-256 digest of the canonical text.
     *
     * @param document the document, not null
     * @return 64 lower-case hexadecimal digits
     */
    public static String digest(Document document) {
        return Sha256.hex(canonical(document));
    }

    /**
     * Returns the document as a tree in canonical order.
     *
     * @param document the document, not null
     * @return a new tree, never null
     */
    public static ObjectNode tree(Document document) {
        Arguments.notNull(document, "document");
        ObjectNode tree = MAPPER.createObjectNode();
        for (EntityKind kind : EntityKind.values()) {
            ArrayNode section = tree.putArray(kind.section());
            sorted(kind.of(document)).forEach(entity -> section.add(MAPPER.<JsonNode>valueToTree(entity)));
        }
        tree.set(LIMITS, MAPPER.valueToTree(document.limits()));
        return tree;
    }

    private static List<? extends Entity> sorted(List<? extends Entity> entities) {
        return entities.stream().sorted(Comparator.comparing(Entity::name)).toList();
    }

    /**
     * Reads a document without validating it.
     *
     * @param json the text, not null
     * @return the document, never null
     * @throws ServingException with {@link ErrorKind#INVALID_DOCUMENT} if the text is not a document
     */
    public static Document read(String json) {
        return read(parse(json));
    }

    /**
     * Reads a document without validating it.
     *
     * @param tree the document as a tree, not null
     * @return the document, never null
     * @throws ServingException with {@link ErrorKind#INVALID_DOCUMENT} if the tree is not a document
     */
    public static Document read(JsonNode tree) {
        return convert(tree, Document.class);
    }

    /**
     * Parses a JSON text.
     *
     * @param json the text, not null
     * @return the tree, never null
     * @throws ServingException with {@link ErrorKind#INVALID_DOCUMENT} if the text is not JSON
     */
    public static JsonNode parse(String json) {
        try {
            return MAPPER.readTree(Arguments.notNull(json, "json"));
        } catch (JsonProcessingException e) {
            throw new ServingException(ErrorKind.INVALID_DOCUMENT, "not valid JSON: " + e.getOriginalMessage());
        }
    }

    /**
     * Converts a tree to a value.
     *
     * @param <T> the type of the value
     * @param tree the tree, not null
     * @param type the class of the value, not null
     * @return the value
     * @throws ServingException with {@link ErrorKind#INVALID_DOCUMENT} if the tree does not match the class
     */
    public static <T> T convert(JsonNode tree, Class<T> type) {
        try {
            return MAPPER.treeToValue(Arguments.notNull(tree, "tree"), type);
        } catch (JsonProcessingException e) {
            throw new ServingException(
                    ErrorKind.INVALID_DOCUMENT, "not a " + type.getSimpleName() + ": " + e.getOriginalMessage());
        }
    }

    /**
     * Writes a tree or value as JSON without white space.
     *
     * @param value the tree or value, not null
     * @return the text, never null
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write JSON", e);
        }
    }

    /**
     * Formats a number without an exponent and without trailing zeros.
     *
     * @param number the number; infinite numbers and NaN are formatted as by {@link Double#toString(double)}
     * @return the text, such as {@code 2.5} or {@code 100}
     */
    public static String numberText(double number) {
        if (!Double.isFinite(number)) {
            return Double.toString(number);
        }
        return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
    }
}
