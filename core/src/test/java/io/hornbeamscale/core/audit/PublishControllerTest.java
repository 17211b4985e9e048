package io.hornbeamscale.core.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.document.CustomerSpec;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.document.TestDocuments;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against lost updates, changes without audit records, and wrong results about what was published. */
class PublishControllerTest {
    private final SimulatedStore store = new SimulatedStore(TrailLimits.STORE.maxValueBytes());
    private final long[] now = {0};
    private int writes;

    private PublishRequest request(long expected, Document document, long rollbackTo) {
        return new PublishRequest(
                "writer-" + ++writes, "nadia", "10.0.0.9", 1_000, "test", expected, document, rollbackTo, true);
    }

    private PublishResult run(PublishRequest request, Function<StoreCall, StoreReply> calls) {
        return new PublishController(request, TrailLimits.STORE, new Random(7))
                .run(calls, () -> now[0], millis -> now[0] += millis);
    }

    private PublishResult publish(long expected, Document document) {
        return run(request(expected, document, 0), store::apply);
    }

    private static Document customers(int count) {
        return TestDocuments.withCustomers(TestDocuments.tours(), TestDocuments.customers(count));
    }

    private HistoryResult.Read read(long version, int count) {
        return (HistoryResult.Read) new HistoryController(version, count, new Random(7))
                .run(store::apply, () -> now[0], millis -> now[0] += millis);
    }

    @Nested
    class Faults {
        @ParameterizedTest
        @CsvSource({
            // fault, kind of call that fails, number of failures, expected result, outcome, versions afterwards
            "REQUEST, Get, 3, Published, , 2",
            "REQUEST, Get, 999, Failed, NOT_RUN, 1",
            "REQUEST, Swap, 1, Published, , 2",
            "REQUEST, Swap, 999, Failed, UNKNOWN, 1",
            "REPLY, Swap, 1, Published, , 2",
            "REPLY, Swap, 999, Published, , 2",
            "REPLY_THEN_DOWN, Swap, 1, Failed, UNKNOWN, 2",
            "REPLY_THEN_RACER, Swap, 1, Published, , 3",
            "RACER, Swap, 1, Conflict, , 2",
            "GARBAGE, Get, 1, Failed, NOT_RUN, 1"
        })
        void endWithACorrectResult(
                String fault, String kind, int failures, String expected, RunOutcome outcome, int versions) {
            publish(0, customers(1));
            int[] failuresLeft = {failures};
            boolean[] isDown = {false};
            PublishResult result = run(request(1, customers(2), 0), call -> {
                boolean isSwap = call instanceof StoreCall.CompareAndSwap;
                if (isDown[0]) {
                    return new StoreReply.NoAnswer(call.key());
                }
                if (isSwap != kind.equals("Swap") || failuresLeft[0]-- <= 0) {
                    return store.apply(call);
                }
                switch (fault) {
                    case "REQUEST" -> {}
                    case "REPLY" -> store.apply(call);
                    case "REPLY_THEN_DOWN" -> {
                        store.apply(call);
                        isDown[0] = true;
                    }
                    case "REPLY_THEN_RACER" -> {
                        store.apply(call);
                        publish(2, customers(9));
                    }
                    case "RACER" -> {
                        publish(1, customers(9));
                        return store.apply(call);
                    }
                    default -> {
                        return new StoreReply.Found(call.key(), 1, "{\"format\":9}");
                    }
                }
                return new StoreReply.NoAnswer(call.key());
            });
            assertEquals(expected, result.getClass().getSimpleName());
            assertEquals(versions, store.heads().size());
            if (result instanceof PublishResult.Failed failed) {
                assertEquals(outcome, failed.outcome());
            }
        }
    }

    @Nested
    class Conflicts {
        @Test
        void showBothChanges() {
            publish(0, TestDocuments.tours());
            List<CustomerSpec> theirs = new ArrayList<>(TestDocuments.tours().customers());
            theirs.remove(0);
            publish(1, TestDocuments.withCustomers(TestDocuments.tours(), theirs));
            List<CustomerSpec> mine = new ArrayList<>(TestDocuments.tours().customers());
            mine.addAll(TestDocuments.customers(1));
            PublishResult.Conflict conflict = assertInstanceOf(
                    PublishResult.Conflict.class, publish(1, TestDocuments.withCustomers(TestDocuments.tours(), mine)));
            assertEquals(2, conflict.currentVersion());
            assertTrue(conflict.theirs().changes().get(0).isRemoved());
            assertEquals(
                    "customers/customer-0", conflict.mine().changes().get(0).id());
            assertEquals(List.of(), conflict.overlap());
            assertEquals("nadia", conflict.records().get(0).operator());
        }
    }

    @Nested
    class Checks {
        @Test
        void rejectErrorsAndRequireAcceptanceOfDisruption() {
            publish(0, TestDocuments.tours());
            Document broken = TestDocuments.withBackends(customers(1), List.of());
            PublishRequest unaccepted = new PublishRequest("w", "nadia", "", 1, "", 1, broken, 0, false);
            assertInstanceOf(PublishResult.NeedsAcceptance.class, run(unaccepted, store::apply));
            Document invalid = TestDocuments.withCustomers(
                    TestDocuments.tours(), List.of(new CustomerSpec("A b", List.of(), List.of(), 1, 1, 1)));
            assertInstanceOf(PublishResult.Invalid.class, publish(1, invalid));
            assertEquals(new PublishResult.Unchanged(1), publish(1, TestDocuments.tours()));
            assertEquals(1, store.heads().size());
        }
    }

    @Nested
    class Rollback {
        @Test
        void publishesOldContentAsANewVersion() {
            for (int i = 0; i < 450; i++) {
                assertInstanceOf(PublishResult.Published.class, publish(i, customers(1 + i % 40)));
            }
            assertInstanceOf(PublishResult.Published.class, run(request(450, null, 7), store::apply));
            PublishedHead head = store.heads().get(450);
            assertEquals(451, head.version());
            assertEquals(DocumentJson.canonical(customers(7)), DocumentJson.canonical(head.document()));
            HistoryResult.Read all = read(3, 1_000);
            assertEquals(451, all.records().size());
            assertEquals("rollback to 7", all.records().get(0).action());
            assertEquals(
                    DocumentJson.canonical(customers(3)),
                    DocumentJson.canonical(all.document().orElseThrow()));
            assertInstanceOf(PublishResult.Invalid.class, run(request(451, null, 451), store::apply));
            assertInstanceOf(PublishResult.Invalid.class, run(request(451, null, 9_999), store::apply));
        }
    }

    @Nested
    class Size {
        @Test
        void staysWithinOneValueWhenEverythingIsReplaced() {
            List<CustomerSpec> many = TestDocuments.customers(1_950);
            assertInstanceOf(
                    PublishResult.Published.class, publish(0, TestDocuments.withCustomers(Document.empty(), many)));
            List<CustomerSpec> renamed = many.stream()
                    .map(customer -> new CustomerSpec(
                            "other-" + customer.name(), customer.keyHashes(), customer.services(), 2, 20, 2_000))
                    .toList();
            assertInstanceOf(
                    PublishResult.Published.class, publish(1, TestDocuments.withCustomers(Document.empty(), renamed)));
            assertInstanceOf(
                    PublishResult.Published.class, publish(2, TestDocuments.withCustomers(Document.empty(), many)));
            assertEquals(
                    DocumentJson.digest(TestDocuments.withCustomers(Document.empty(), renamed)),
                    DocumentJson.digest(read(2, 0).document().orElseThrow()));
        }
    }
}
