package io.hornbeamscale.core.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against nodes whose content differs from the published document after they apply a difference, and against
 * disruptive changes that are published without a warning.
 */
class DocumentDiffTest {
    private static final long SEED = 41;

    private final Random random = new Random(SEED);

    private Document mutated(Document from) {
        List<CustomerSpec> customers = new ArrayList<>(from.customers());
        customers.removeIf(customer -> random.nextInt(4) == 0);
        customers.replaceAll(customer -> random.nextInt(4) == 0
                ? new CustomerSpec(
                        customer.name(),
                        customer.keyHashes(),
                        customer.services(),
                        1 + random.nextInt(9),
                        customer.requestsPerSecond(),
                        customer.tokensPerSecond())
                : customer);
        customers.add(TestDocuments.customers(20).get(random.nextInt(20)));
        List<CustomerSpec> distinct = new ArrayList<>();
        customers.stream()
                .filter(customer ->
                        distinct.stream().noneMatch(other -> other.name().equals(customer.name())))
                .forEach(distinct::add);
        Collections.shuffle(distinct, random);
        return TestDocuments.withCustomers(from, distinct);
    }

    @Nested
    class ApplyTo {
        @Test
        void resultsInTheLaterDocumentAndCanBeUndone() {
            Document before = TestDocuments.tours();
            for (int i = 0; i < 500; i++) {
                Document after = mutated(before);
                DocumentDiff diff = DocumentDiff.between(before, after);
                String expected = DocumentJson.digest(after);
                assertEquals(expected, DocumentJson.digest(diff.applyTo(before)));
                assertEquals(
                        expected,
                        DocumentJson.digest(DocumentDiff.fromJson(diff.toJson()).applyTo(before)));
                assertEquals(
                        DocumentJson.digest(before),
                        DocumentJson.digest(diff.inverse().applyTo(after)));
                before = after;
            }
        }
    }

    @Nested
    class Warnings {
        private List<String> warningsOf(Document after) {
            return ChangeWarnings.of(DocumentDiff.between(TestDocuments.tours(), after)).stream()
                    .map(ChangeWarning::entity)
                    .toList();
        }

        @Test
        void nameRemovedEntities() {
            assertEquals(
                    23,
                    TestDocuments.tours().customers().size()
                            + TestDocuments.tours().backends().size()
                            + 2);
            List<String> warnings = warningsOf(Document.empty());
            assertTrue(warnings.containsAll(List.of(
                    "services/guide",
                    "customers/petra-tours",
                    "models/narrator",
                    "backends/guide-1",
                    "regions/amman")));
        }

        @Test
        void nameLoweredMemory() {
            List<BackendSpec> backends = new ArrayList<>(TestDocuments.tours().backends());
            BackendSpec old = backends.get(0);
            backends.set(
                    0,
                    new BackendSpec(
                            old.name(),
                            old.service(),
                            old.region(),
                            old.zone(),
                            old.address(),
                            old.model(),
                            old.memoryTokens() - 1,
                            old.maxRunning(),
                            old.checksFencing(),
                            old.honoursPriorities()));
            assertEquals(
                    List.of("backends/guide-1"),
                    warningsOf(TestDocuments.withBackends(TestDocuments.tours(), backends)));
        }

        @Test
        void areAbsentForAnAddition() {
            List<CustomerSpec> customers = new ArrayList<>(TestDocuments.tours().customers());
            customers.addAll(TestDocuments.customers(1));
            assertEquals(List.of(), warningsOf(TestDocuments.withCustomers(TestDocuments.tours(), customers)));
        }
    }

    @Nested
    class Index {
        @Test
        void findsCustomersByKeyDigest() {
            DocumentIndex index = new DocumentIndex(TestDocuments.tours());
            String digest = Sha256.hex("tours-rum-camps-trial-key");
            assertEquals(
                    "rum-camps", index.customerByKeyDigest(digest).orElseThrow().name());
            assertTrue(index.customerByKeyDigest(Sha256.hex("other")).isEmpty());
            assertEquals(8, index.backendsOf("guide").size());
            assertTrue(index.service(null).isEmpty());
        }
    }
}
