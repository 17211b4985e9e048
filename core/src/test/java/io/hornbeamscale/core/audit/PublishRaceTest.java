package io.hornbeamscale.core.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.document.CustomerSpec;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.document.TestDocuments;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against noAnswer updates, changes without audit records and versions that do not increase, when operators
 * publish concurrently while the store loses requests and replies, delays writes, returns outdated values or is
 * unavailable.
 */
class PublishRaceTest {
    private static final int SEEDS = 10_000;
    private static final int OPERATORS = 3;
    private static final int CHANGES_EACH = 3;
    private static final TrailLimits SMALL_LIMITS = new TrailLimits(2, 60_000, 1_000_000);

    /** An operator that repeatedly reads the document, adds a customer of its own and publishes the result. */
    private static final class Operator {
        private final int id;
        private final Run run;
        private int done;
        private int attempt;
        private HistoryController reading;
        private PublishController publishing;
        private PublishRequest request;
        private StoreCall pending;
        private long dueMillis;

        Operator(int id, Run run) {
            this.id = id;
            this.run = run;
            read();
        }

        private void read() {
            reading = new HistoryController(0, 0, run.random);
            publishing = null;
            onRead(reading.start(run.now));
        }

        private void onRead(StoreStep<HistoryResult> step) {
            if (step instanceof StoreStep.Call<HistoryResult> call) {
                await(call.call(), call.delayMillis());
            } else if (((StoreStep.Done<HistoryResult>) step).result() instanceof HistoryResult.Read read) {
                publish(read.head());
            } else {
                read();
            }
        }

        private void await(StoreCall call, long delayMillis) {
            pending = call;
            dueMillis = run.now + delayMillis;
        }

        private void publish(PublishedHead head) {
            attempt++;
            List<CustomerSpec> customers = new ArrayList<>(head.document().customers());
            String name = "c-" + id + "-" + attempt;
            customers.add(new CustomerSpec(name, List.of(), List.of(), 1, 1, 1));
            Document next = TestDocuments.withCustomers(Document.empty(), customers);
            request = new PublishRequest(name, "op-" + id, "", run.now, "", head.version(), next, 0, true);
            publishing = new PublishController(request, SMALL_LIMITS, run.random);
            onPublish(publishing.start(run.now));
        }

        private void onPublish(StoreStep<PublishResult> step) {
            if (step instanceof StoreStep.Call<PublishResult> call) {
                await(call.call(), call.delayMillis());
                return;
            }
            PublishResult result = ((StoreStep.Done<PublishResult>) step).result();
            run.results.put(request.writer(), result);
            pending = null;
            if (++done < CHANGES_EACH) {
                read();
            }
        }

        void onReply(StoreReply reply) {
            pending = null;
            if (publishing == null) {
                onRead(reading.onReply(reply, run.now));
            } else {
                onPublish(publishing.onReply(reply, run.now));
            }
        }
    }

    /** One interleaving of store calls, determined by a seed. */
    private static final class Run {
        private final Random random;
        private final SimulatedStore store = new SimulatedStore(1_000_000);
        private final Map<String, PublishResult> results = new HashMap<>();
        private final List<StoreCall> delayedCalls = new ArrayList<>();
        private long now;
        private long downUntilMillis;

        Run(long seed) {
            random = new Random(seed);
        }

        void runToEnd() {
            List<Operator> operators = new ArrayList<>();
            for (int i = 0; i < OPERATORS; i++) {
                operators.add(new Operator(i, this));
            }
            while (true) {
                List<Operator> waiting =
                        operators.stream().filter(op -> op.pending != null).toList();
                if (waiting.isEmpty()) {
                    break;
                }
                step(waiting.get(random.nextInt(waiting.size())));
            }
            delayedCalls.forEach(store::apply);
        }

        private void step(Operator operator) {
            now += 1 + random.nextInt(20);
            if (operator.dueMillis > now) {
                return;
            }
            if (random.nextInt(200) == 0) {
                downUntilMillis = now + random.nextInt(30_000);
            }
            if (!delayedCalls.isEmpty() && random.nextInt(6) == 0) {
                store.apply(delayedCalls.remove(random.nextInt(delayedCalls.size())));
            }
            StoreCall call = operator.pending;
            int fault = random.nextInt(20);
            StoreReply noAnswer = new StoreReply.NoAnswer(call.key());
            if (now < downUntilMillis) {
                now += 100;
                operator.onReply(noAnswer);
            } else if (fault == 0) {
                operator.onReply(noAnswer);
            } else if (fault == 1) {
                store.apply(call);
                operator.onReply(noAnswer);
            } else if (fault == 2) {
                delayedCalls.add(call);
                operator.onReply(noAnswer);
            } else if (fault == 3 && call instanceof StoreCall.Get) {
                operator.onReply(store.outdated(call, 1 + random.nextInt(2)));
            } else {
                operator.onReply(store.apply(call));
            }
        }
    }

    private static List<AuditRecord> records(SimulatedStore store) {
        PublishedHead head = store.heads().get(store.heads().size() - 1);
        TrailReader trailReader = new TrailReader(head, 1);
        while (trailReader.nextCall().isPresent()) {
            trailReader.onReply(store.apply(trailReader.nextCall().get()));
        }
        assertEquals(Document.empty(), trailReader.documentAt(0).orElseThrow());
        return trailReader.records();
    }

    private static void check(Run run) {
        List<PublishedHead> heads = run.store.heads();
        Set<String> published = new HashSet<>();
        for (int i = 0; i < heads.size(); i++) {
            PublishedHead head = heads.get(i);
            assertEquals(i + 1, head.version());
            assertEquals(i + 1, head.document().customers().size(), "a later operator undid an earlier change");
            List<AuditRecord> entries = head.trail().entries();
            assertEquals(head.writer(), entries.get(entries.size() - 1).writer());
            assertTrue(published.add(head.writer()));
        }
        if (!heads.isEmpty()) {
            List<AuditRecord> records = records(run.store);
            assertEquals(heads.size(), records.size());
            for (AuditRecord record : records) {
                assertEquals(heads.get((int) record.version() - 1).writer(), record.writer());
                assertEquals(record.writer(), record.changes().get(0).name());
            }
        }
        run.results.forEach((writer, result) -> {
            if (result instanceof PublishResult.Published done) {
                assertEquals(writer, heads.get((int) done.version() - 1).writer());
            } else if (!(result instanceof PublishResult.Failed failed) || failed.outcome() == RunOutcome.NOT_RUN) {
                assertTrue(!published.contains(writer), () -> writer + " was published despite " + result);
            }
        });
    }

    @Nested
    class Interleavings {
        @Test
        void loseNoUpdateAndNoAuditRecord() {
            Map<String, Integer> kinds = new HashMap<>();
            for (long seed = 0; seed < SEEDS; seed++) {
                Run run = new Run(seed);
                run.runToEnd();
                try {
                    check(run);
                } catch (AssertionError e) {
                    throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
                }
                run.results
                        .values()
                        .forEach(result -> kinds.merge(result.getClass().getSimpleName(), 1, Integer::sum));
            }
            // The test covers all cases only if every kind of result occurs.
            assertEquals(Set.of("Published", "Conflict", "Failed"), kinds.keySet());
            System.out.println("[config] results of " + SEEDS + " interleavings: " + kinds);
        }
    }

    @Nested
    class StoredValue {
        @Test
        void isReadBackUnchanged() {
            PublishedHead head = new PublishedHead(3, "w", TestDocuments.tours(), Trail.empty());
            PublishedHead again = PublishedHead.decode(head.encode());
            assertEquals(DocumentJson.digest(head.document()), DocumentJson.digest(again.document()));
            assertEquals(head.encode(), again.encode());
        }
    }
}
