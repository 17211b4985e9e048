package io.hornbeamscale.core.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against accepting a document with an error, reporting only some of the errors, and changing content when a
 * document is written and read back.
 */
class DocumentYamlTest {
    @Nested
    class Read {
        @ParameterizedTest
        @ValueSource(strings = {"tours", "sensors"})
        void acceptsTheExamples(String name) {
            DocumentReadResult result = DocumentYaml.read(TestDocuments.file("examples/" + name + ".yaml"));
            assertEquals(List.of(), result.problems());
            assertEquals(11, result.document().backends().size());
            assertEquals(10, result.document().customers().size());
        }

        @ParameterizedTest
        @CsvSource(delimiter = '|', textBlock = """
                kind: model                    | kind: fast                     | services[0].kind
                models: [narrator, notes]      | models: [narrator, ghost]      | services[0].models[1]
                services: [guide, booking]     | services: [ghost]              | customers[0].services[0]
                weight: 4                      | weight: 0                      | customers[0].weight
                weight: 4                      | weight: .nan                   | document
                weight: 4                      | weight: heavy                  | customers[0].weight
                name: jerash-travel            | name: petra-tours              | customers[1].name
                name: jerash-travel            | name: Jerash Travel            | customers[1].name
                name: jerash-travel            | name: jerash-travel\\n    nmae: x | customers[1].nmae
                version: "2.1"                 | version: 2.10                  | models[0].version
                typicalOutputTokens: 900       | typicalOutputTokens: 90000     | models[0].typicalOutputTokens
                maxOutputTokens: 32000         | maxOutputTokens: 320000        | backends[0].memoryTokens
                priority: 7                    | priority: 10                   | workKinds[0].priority
                priority: 7                    | priority: 7.5                  | workKinds[0].priority
                maxWaitMillis: 5000            | maxWaitMillis: 99999999999999999999 | workKinds[1].maxWaitMillis
                address: 127.0.0.1:7102        | address: 127.0.0.1:7101        | backends[1].address
                address: 127.0.0.1:7102        | address: localhost:7102        | backends[1].address
                address: 127.0.0.1:7102        | address: 127.0.0.1:70000       | backends[1].address
                zone: wadi-musa-a              | zone: amman-a                  | backends[6].zone
                maxRunning: 128                | maxRunning: 0                  | backends[8].maxRunning
                maxRunning: 128                | memoryTokens: 5                | backends[8].maxRunning
                zones: [wadi-musa-a]           | zones: []                      | regions[1].zones
                zones: [amman-a, amman-b]      | zones: [amman-a, amman-b, wadi-musa-a] | regions[1].zones
                maxBodyBytes: 262144           | maxBodyBytes: 2000000          | limits.maxBodyBytes
                rolloutPercent: 25             | rollout: 25                    | limits.rollout
                rolloutPercent: 25             | rollout: 25                    | limits.rolloutPercent
                regions:                       | areas:                         | areas
                """)
        void namesThePathOfAnError(String from, String to, String path) {
            String text = TestDocuments.file("examples/tours.yaml");
            String changed = text.replaceFirst(java.util.regex.Pattern.quote(from), to.replace("\\n", "\n"));
            assertFalse(changed.equals(text));
            List<DocumentProblem> problems = DocumentYaml.read(changed).problems();
            assertTrue(
                    problems.stream().anyMatch(problem -> problem.path().equals(path)),
                    () -> problems.stream().map(DocumentProblem::text).toList().toString());
        }

        @Test
        void reportsEveryErrorOnce() {
            List<DocumentProblem> problems = DocumentYaml.read("""
                            services: [{name: a, kind: model}, {name: a, kind: plain, color: red}]
                            customers:
                            - {name: c, services: [x, 5], weight: -1, requestsPerSecond: 1, tokensPerSecond: 1}
                            limits: 7
                            """).problems();
            List<String> paths = problems.stream().map(DocumentProblem::path).toList();
            assertEquals(
                    List.of(
                            "services[1].color",
                            "customers[0].services[1]",
                            "limits",
                            "customers[0].weight",
                            "services[1].name",
                            "services[0].models",
                            "customers[0].services[0]"),
                    paths);
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "7", "[]", "services: [", "limits: {}\nlimits: {}", "a: *b", "--- \n--- \n", "\t"})
        void reportsAnErrorForTextThatIsNoDocument(String text) {
            DocumentReadResult result = DocumentYaml.read(text);
            assertFalse(result.isValid());
            assertFalse(result.problems().get(0).text().isBlank());
        }
    }

    @Nested
    class Write {
        @Test
        void isReadBackUnchanged() {
            Document tours = TestDocuments.tours();
            DocumentReadResult again = DocumentYaml.read(DocumentYaml.write(tours));
            assertEquals(List.of(), again.problems());
            assertEquals(DocumentJson.canonical(tours), DocumentJson.canonical(again.document()));
            assertEquals(again.document(), DocumentJson.read(DocumentJson.canonical(tours)));
        }
    }
}
