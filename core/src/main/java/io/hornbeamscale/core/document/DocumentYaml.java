package io.hornbeamscale.core.document;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes documents as YAML. Since JSON is a subset of YAML, JSON texts can be read too. */
public final class DocumentYaml {
    private static final YAMLMapper MAPPER = YAMLMapper.builder(YAMLFactory.builder()
                    .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
                    .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
                    .enable(YAMLGenerator.Feature.ALWAYS_QUOTE_NUMBERS_AS_STRINGS)
                    .enable(YAMLGenerator.Feature.INDENT_ARRAYS_WITH_INDICATOR)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private DocumentYaml() {}

    /**
     * Reads and validates a document. All errors are reported together; a text that is not valid YAML yields only that
     * error.
     *
     * @param yaml the text, not null
     * @return the document and its errors, never null
     */
    public static DocumentReadResult read(String yaml) {
        Arguments.notNull(yaml, "yaml");
        JsonNode tree;
        try {
            tree = MAPPER.readTree(yaml);
        } catch (JsonProcessingException e) {
            String line =
                    e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
            return failed(line + e.getOriginalMessage(), "YAML without duplicate keys");
        }
        return readTree(tree);
    }

    /**
     * Reads and validates a document given as a tree.
     *
     * @param tree the tree, not null
     * @return the document and its errors, never null
     */
    public static DocumentReadResult readTree(JsonNode tree) {
        if (!(tree instanceof ObjectNode root)) {
            return failed(tree.isMissingNode() ? "" : tree.getNodeType().name(), "a map with the sections");
        }
        StructureCheck check = new StructureCheck();
        Document document = DocumentJson.read(check.cleaned(root));
        List<DocumentProblem> problems = new ArrayList<>(check.problems());
        for (DocumentProblem problem : DocumentValidator.validate(document)) {
            if (!check.hasReported(problem.path())) {
                problems.add(problem);
            }
        }
        return new DocumentReadResult(document, problems);
    }

    private static DocumentReadResult failed(String value, String allowed) {
        return new DocumentReadResult(null, List.of(new DocumentProblem("document", value, allowed)));
    }

    /**
     * Writes a document.
     *
     * @param document the document, not null
     * @return YAML with entities ordered by name, never null
     */
    public static String write(Document document) {
        try {
            return MAPPER.writeValueAsString(DocumentJson.tree(document));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write YAML", e);
        }
    }
}
