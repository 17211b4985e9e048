package io.hornbeamscale.core.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.github.victools.jsonschema.generator.CustomDefinition;
import com.github.victools.jsonschema.generator.FieldScope;
import com.github.victools.jsonschema.generator.MemberScope;
import com.github.victools.jsonschema.generator.Option;
import com.github.victools.jsonschema.generator.OptionPreset;
import com.github.victools.jsonschema.generator.SchemaGenerator;
import com.github.victools.jsonschema.generator.SchemaGeneratorConfigBuilder;
import com.github.victools.jsonschema.generator.SchemaVersion;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a published schema or configuration page that is outdated after a change of the classes. After an
 * intended change, run with {@code -Dhornbeamscale.writeDocs=true} and commit the written files.
 */
class DocumentSchemaTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static FieldRule rule(MemberScope<?, ?> scope) {
        return scope instanceof FieldScope field ? field.getAnnotation(FieldRule.class) : null;
    }

    private static CustomDefinition enumDefinition(Object[] constants) {
        ObjectNode node = MAPPER.createObjectNode().put("type", "string");
        ArrayNode words = node.putArray("enum");
        Stream.of(constants).forEach(value -> words.add(value.toString().toLowerCase(Locale.ROOT)));
        return new CustomDefinition(node, true);
    }

    private static boolean isNumber(FieldScope field) {
        Class<?> type = field.getType().getErasedType();
        return type == int.class || type == long.class || type == double.class;
    }

    private static boolean isList(FieldScope field) {
        return rule(field) != null && field.isContainerType() && !field.isFakeContainerItemScope();
    }

    private static BigDecimal number(double value) {
        return new BigDecimal(DocumentJson.numberText(value));
    }

    private static String generatedSchema() throws Exception {
        SchemaGeneratorConfigBuilder config = new SchemaGeneratorConfigBuilder(
                        MAPPER, SchemaVersion.DRAFT_2020_12, OptionPreset.PLAIN_JSON)
                .with(Option.FORBIDDEN_ADDITIONAL_PROPERTIES_BY_DEFAULT)
                .with(Option.SCHEMA_VERSION_INDICATOR);
        config.forTypesInGeneral()
                .withCustomDefinitionProvider(
                        (type, context) -> type.getErasedType().isEnum()
                                ? enumDefinition(type.getErasedType().getEnumConstants())
                                : null);
        config.forFields()
                .withDescriptionResolver(field -> field.isFakeContainerItemScope() || rule(field) == null
                        ? null
                        : rule(field).meaning())
                .withRequiredCheck(field -> rule(field) != null && !rule(field).optional())
                .withNumberInclusiveMinimumResolver(field -> rule(field) != null && isNumber(field)
                        ? number(rule(field).min())
                        : null)
                .withNumberInclusiveMaximumResolver(field -> rule(field) != null && isNumber(field)
                        ? number(rule(field).max())
                        : null)
                .withArrayMinItemsResolver(field -> isList(field) && rule(field).minItems() > 0
                        ? rule(field).minItems()
                        : null)
                .withArrayMaxItemsResolver(field -> isList(field) ? rule(field).maxItems() : null)
                .withArrayUniqueItemsResolver(field -> isList(field) ? Boolean.TRUE : null)
                .withStringPatternResolver(
                        field -> rule(field) == null || field.getType().getErasedType() != String.class
                                ? null
                                : "^(" + rule(field).format().expression() + ")"
                                        + (rule(field).optional() && !field.isFakeContainerItemScope() ? "?$" : "$"));
        ObjectNode schema = new SchemaGenerator(config.build()).generateSchema(Document.class);
        schema.put("title", "hornbeamscale document");
        return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(schema) + "\n";
    }

    private static String generatedPage() {
        StringBuilder page = new StringBuilder("""
                # Configuration

                Every key of the operators' document. The document is YAML or JSON with the sections below; a section
                that is left out is empty, and `limits` that are left out have the defaults of a new document. Unknown
                keys are errors. The JSON schema is [document.schema.json](document.schema.json);
                `hornbeamscale config validate` also checks references, duplicates and changes that would strand
                running work.

                Names of services, customers, work kinds, backend servers, regions and availability zones have 1 to 63
                lower-case letters, digits and inner hyphens. A stored document has at most %d bytes.
                """.formatted(DocumentValidator.MAX_DOCUMENT_BYTES));
        for (EntityKind kind : EntityKind.values()) {
            page.append("\n## ").append(kind.section()).append("\n\nA list of entries of the kind ");
            page.append(kind.title()).append(".\n");
            table(page, kind.type());
        }
        page.append("\n## limits\n\nA map. The defaults are `")
                .append(DocumentJson.write(LimitsSpec.defaults()))
                .append("`.\n");
        table(page, LimitsSpec.class);
        return page.toString();
    }

    private static void table(StringBuilder page, Class<?> type) {
        page.append("\n| key | type | allowed | meaning |\n| --- | --- | --- | --- |\n");
        for (EntityField field : EntityFields.of(type)) {
            page.append("| `")
                    .append(field.name())
                    .append("` | ")
                    .append(field.type().title());
            page.append(field.rule().optional() ? ", optional | " : " | ").append(field.allowed());
            page.append(" | ").append(field.rule().meaning()).append(" |\n");
        }
    }

    private static void assertFile(String name, String expected) throws Exception {
        Path path = Path.of("..", "docs", name);
        if (Boolean.getBoolean("hornbeamscale.writeDocs")) {
            Files.writeString(path, expected);
        }
        assertEquals(expected, Files.readString(path));
    }

    private static JsonSchema schema() {
        return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                .getSchema(TestDocuments.file("docs/document.schema.json"));
    }

    private static JsonNode yaml(String text) throws Exception {
        return new YAMLMapper().readTree(text);
    }

    @Nested
    class PublishedFiles {
        @Test
        void schemaMatchesTheClasses() throws Exception {
            assertFile("document.schema.json", generatedSchema());
        }

        @Test
        void pageMatchesTheClasses() throws Exception {
            assertFile("CONFIGURATION.md", generatedPage());
        }
    }

    @Nested
    class Validation {
        @ParameterizedTest
        @ValueSource(strings = {"tours", "sensors"})
        void acceptsTheExamples(String name) throws Exception {
            assertEquals(
                    List.of(), List.copyOf(schema().validate(yaml(TestDocuments.file("examples/" + name + ".yaml")))));
        }

        @ParameterizedTest
        @CsvSource(delimiter = '|', textBlock = """
                weight: 4                | weight: 0
                kind: model              | kind: fast
                priority: 7              | priority: 10
                version: "2.1"           | version: 2.1
                zones: [wadi-musa-a]     | zones: []
                rolloutPercent: 25       | rollout: 25
                address: 127.0.0.1:7102  | address: localhost:7102
                """)
        void rejectsWhatTheClassesReject(String from, String to) throws Exception {
            String text = Objects.requireNonNull(TestDocuments.file("examples/tours.yaml"))
                    .replace(from, to);
            assertFalse(schema().validate(yaml(text)).isEmpty());
            assertFalse(DocumentYaml.read(text).isValid());
        }
    }
}
