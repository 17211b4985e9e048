package io.hornbeamscale.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.NodeId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against limits that are exceeded, or only partly usable, when several entries share them. */
class CustomerLimiterTest {
    private static final CustomerId CUSTOMER = new CustomerId("c");
    private static final CustomerRates LIMIT = new CustomerRates(CUSTOMER, 100, 1e9);
    private static final long LEASE_MILLIS = 2_000;
    private static final int ENTRIES = 4;
    private static final int SECONDS = 60;

    /** Runs entries in isolated groups, each with its own coordinator, and returns the admitted requests per second. */
    private static double admitted(int groups, int demandingEntries, boolean isLeased) {
        List<CustomerLimiter> entries = new ArrayList<>();
        List<LimitCoordinator> coordinators = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new CustomerLimiter());
            entries.get(i).configure(List.of(LIMIT), ENTRIES, 0);
            coordinators.add(new LimitCoordinator(LEASE_MILLIS));
            coordinators.get(i).configure(List.of(LIMIT));
        }
        int count = 0;
        for (long now = 0; now < SECONDS * 1_000; now++) {
            for (int i = 0; i < demandingEntries; i++) {
                count += entries.get(i).admit(CUSTOMER, 0, now) == 0 ? 1 : 0;
                if (isLeased && now % 500 == 0) {
                    for (CustomerRates d : entries.get(i).demand(now)) {
                        LimitCoordinator c = coordinators.get(i % groups);
                        entries.get(i).leased(c.lease(new NodeId("e" + i), d, now), LEASE_MILLIS, now);
                    }
                }
            }
        }
        return (double) count / SECONDS;
    }

    /** Checks the bound (1+k)/2 for k isolated groups, with a tolerance of 10 percent for the bursts at the start. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void partitionedEntriesStayWithinTheBound(int groups) {
        double rate = admitted(groups, ENTRIES, true);
        double bound = 100 * (1 + groups) / 2.0;
        assertTrue(rate <= bound * 1.1, "rate " + rate + ", bound " + bound);
        assertTrue(rate >= bound * 0.8, "rate " + rate + ", bound " + bound);
    }

    /**
     * Guards against a customer that is limited to the equal part of one entry because all its requests arrive there.
     */
    @Test
    void leaseFollowsDemand() {
        assertTrue(admitted(1, 1, true) > 55);
        assertTrue(admitted(1, 1, false) < 20);
    }

    /** Guards against a new coordinator that leases rates which its failed predecessor has leased already. */
    @Test
    void newCoordinatorWaitsForOldLeases() {
        LimitCoordinator c = new LimitCoordinator(LEASE_MILLIS);
        c.configure(List.of(LIMIT));
        NodeId entry = new NodeId("e");
        assertEquals(0, c.lease(entry, LIMIT, 1_000).requestsPerSecond());
        assertEquals(0, c.lease(entry, LIMIT, 1_000 + LEASE_MILLIS - 1).requestsPerSecond());
        assertEquals(50, c.lease(entry, LIMIT, 1_000 + LEASE_MILLIS).requestsPerSecond());
    }

    /** Guards against several coordinators, or none, for one customer. */
    @Test
    void oneEntryCoordinates() {
        List<NodeId> entries = List.of(new NodeId("a"), new NodeId("b"), new NodeId("c"));
        for (int i = 0; i < 50; i++) {
            CustomerId customer = new CustomerId("c" + i);
            long coordinators = entries.stream()
                    .filter(e -> LimitCoordinator.isCoordinator(e, entries, customer))
                    .count();
            assertEquals(1, coordinators);
        }
    }

    /** Guards against output tokens that are not counted because they arrive after admission. */
    @Test
    void outputTokensDelayTheNextRequest() {
        CustomerLimiter l = new CustomerLimiter();
        l.configure(List.of(new CustomerRates(CUSTOMER, 1_000, 1_000)), 1, 0);
        assertEquals(0, l.admit(CUSTOMER, 10, 0));
        l.charge(CUSTOMER, 5_000, 0);
        long wait = l.admit(CUSTOMER, 10, 0);
        assertTrue(wait > 5_000, "wait " + wait);
        assertEquals(0, l.admit(CUSTOMER, 10, wait + 1));
    }

    /** Guards against traffic between regions that exceeds its budget. */
    @Test
    void linkBudgetRefusesNewWorkOnceUsed() {
        LinkBudget link = new LinkBudget(1_000);
        assertTrue(link.hasRoom(1_000, 0));
        link.count(3_000, 0);
        assertTrue(!link.hasRoom(100, 2_000));
        assertTrue(link.hasRoom(100, 2_200));
        assertEquals(3_000, link.bytes());
        assertTrue(!new LinkBudget(0).hasRoom(1, 60_000) || new LinkBudget(0).hasRoom(0, 0));
    }
}
