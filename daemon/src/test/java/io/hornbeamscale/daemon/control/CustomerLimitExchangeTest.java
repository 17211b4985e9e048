package io.hornbeamscale.daemon.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.document.CustomerSpec;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.limit.CustomerLimiter;
import io.hornbeamscale.wire.message.LimitShareMessage;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against limits that multiply with the number of entries, and shares that stay at entries without demand. */
class CustomerLimitExchangeTest {
    private static final CustomerId CUSTOMER = new CustomerId("c");
    private static final double LIMIT = 10;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Map<NodeId, CustomerLimiter> limiters = new LinkedHashMap<>();
    private final Map<NodeId, CustomerLimitExchange> exchanges = new LinkedHashMap<>();
    private boolean isConnected = true;
    private long now;

    private void start(int entries) {
        Document document = new Document(
                List.of(),
                List.of(new CustomerSpec("c", List.of(), List.of(), 1, LIMIT, 1_000_000)),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                Document.empty().limits());
        List<NodeId> nodes = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            nodes.add(new NodeId("entry-" + i));
        }
        for (NodeId node : nodes) {
            CustomerLimiter limiter = new CustomerLimiter();
            limiters.put(node, limiter);
            exchanges.put(node, new CustomerLimitExchange(node, limiter, (to, message) -> {
                if (isConnected) {
                    exchanges.get(to).received(node, (LimitShareMessage) message, now);
                }
            }));
        }
        exchanges.values().forEach(e -> e.apply(document, now));
        exchanges.values().forEach(e -> e.entriesChanged(nodes, now));
    }

    /** Offers ten times the limit to each entry for some seconds and returns the number of admitted requests. */
    private int offerLoad(List<NodeId> calledEntries, int seconds) {
        int admitted = 0;
        for (long end = now + seconds * MILLIS_PER_SECOND; now < end; now += 10) {
            exchanges.values().forEach(e -> e.tick(now));
            for (NodeId node : calledEntries) {
                admitted += limiters.get(node).admit(CUSTOMER, 0, now) == 0 ? 1 : 0;
            }
        }
        return admitted;
    }

    @Nested
    class Rates {
        @ParameterizedTest
        @ValueSource(ints = {1, 3, 8})
        void stayWithinTheLimitForAnyNumberOfEntries(int entries) {
            start(entries);
            offerLoad(List.copyOf(limiters.keySet()), 30);
            int admitted = offerLoad(List.copyOf(limiters.keySet()), 60);
            assertTrue(admitted <= LIMIT * 60 * 1.05, "admitted " + admitted);
            assertTrue(admitted >= LIMIT * 60 * 0.8, "admitted " + admitted);
        }

        @Test
        void moveToTheEntryWithDemand() {
            start(4);
            List<NodeId> called = List.of(new NodeId("entry-2"));
            offerLoad(called, 30);
            int admitted = offerLoad(called, 60);
            // The static half is divided among four entries; the leased half goes to the entry with demand.
            assertTrue(admitted >= LIMIT * 60 * (0.5 + 0.5 / 4) * 0.9, "admitted " + admitted);
        }

        @Test
        void shrinkToTheStaticHalfIfEntriesAreDisconnected() {
            start(4);
            List<NodeId> all = List.copyOf(limiters.keySet());
            isConnected = false;
            offerLoad(all, 30);
            int admitted = offerLoad(all, 60);
            assertTrue(admitted <= LIMIT * 60 * 1.05, "admitted " + admitted);
        }
    }

    @Nested
    class Received {
        @ParameterizedTest
        @ValueSource(strings = {"", "{", "{}", "[{\"customer\":\"\"}]", "[{\"customer\":\"c\",\"requests\":-1}]"})
        void refusesMalformedRates(String content) {
            start(1);
            ServingException e = assertThrows(
                    ServingException.class,
                    () -> exchanges
                            .get(new NodeId("entry-0"))
                            .received(new NodeId("entry-1"), new LimitShareMessage("lease", content), 0));
            assertEquals(ErrorKind.BAD_FRAME, e.kind());
        }
    }
}
