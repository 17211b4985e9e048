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
 * Guards against a lost update, a change without its audit record and a version that does not rise, when operators race
 * while the store loses replies, delays
 * writes, returns older values and is down.
 */
class PublishRaceTest {
    private static final int SEEDS = 10_000;
    private static final int OPERATORS = 3;
    private static final int CHANGES_EACH = 3;
    private static final TrailLimits SMALL = new TrailLimits(2, 60_000, 1_000_000);

    /** One operator: reads the document, adds a customer of its own, publishes, and starts over after a conflict. */
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
            publishing = new PublishController(request, SMALL, run.random);
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

    /** One interleaving. */
    private static final class Run {
        private final Random random;
        private final SimulatedStore store = new SimulatedStore(1_000_000);
        private final Map<String, PublishResult> results = new HashMap<>();
        private final List<StoreCall> late = new ArrayList<>();
        private long now;
        private long downUntil;

        Run(long seed) {
            random = new Random(seed);
        }

        void play() {
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
            late.forEach(store::apply);
        }

        private void step(Operator operator) {
            now += 1 + random.nextInt(20);
            if (operator.dueMillis > now) {
                return;
            }
            if (random.nextInt(200) == 0) {
                downUntil = now + random.nextInt(30_000);
            }
            if (!late.isEmpty() && random.nextInt(6) == 0) {
                store.apply(late.remove(random.nextInt(late.size())));
            }
            StoreCall call = operator.pending;
            int luck = random.nextInt(20);
            StoreReply lost = new StoreReply.NoAnswer(call.key());
            if (now < downUntil) {
                now += 100;
                operator.onReply(lost);
            } else if (luck == 0) {
                operator.onReply(lost);
            } else if (luck == 1) {
                store.apply(call);
                operator.onReply(lost);
            } else if (luck == 2) {
                late.add(call);
                operator.onReply(lost);
            } else if (luck == 3 && call instanceof StoreCall.Get) {
                operator.onReply(store.older(call, 1 + random.nextInt(2)));
            } else {
                operator.onReply(store.apply(call));
            }
        }
    }

    private static List<AuditRecord> records(SimulatedStore store) {
        PublishedHead head = store.heads().get(store.heads().size() - 1);
        TrailReader walk = new TrailReader(head, 1);
        while (walk.nextCall().isPresent()) {
            walk.onReply(store.apply(walk.nextCall().get()));
        }
        assertEquals(Document.empty(), walk.documentAt(0).orElseThrow());
        return walk.records();
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
        void neverLoseAnUpdateOrARecord() {
            Map<String, Integer> kinds = new HashMap<>();
            for (long seed = 0; seed < SEEDS; seed++) {
                Run run = new Run(seed);
                run.play();
                try {
                    check(run);
                } catch (AssertionError e) {
                    throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
                }
                run.results
                        .values()
                        .forEach(result -> kinds.merge(result.getClass().getSimpleName(), 1, Integer::sum));
            }
            // The run is only telling if every kind of end occurs.
            assertEquals(Set.of("Published", "Conflict", "Failed"), kinds.keySet());
            System.out.println("[config] results of " + SEEDS + " interleavings: " + kinds);
        }
    }

    @Nested
    class Canonical {
        @Test
        void valueIsReadBackUnchanged() {
            PublishedHead head = new PublishedHead(3, "w", TestDocuments.tours(), Trail.empty());
            PublishedHead again = PublishedHead.decode(head.encode());
            assertEquals(DocumentJson.digest(head.document()), DocumentJson.digest(again.document()));
            assertEquals(head.encode(), again.encode());
        }
    }
}
