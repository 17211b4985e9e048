package io.hornbeamscale.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.schedule.ScheduleAction.SendGrant;
import io.hornbeamscale.core.schedule.ScheduleAction.SendRefuse;
import io.hornbeamscale.core.work.EngineLoad;
import io.hornbeamscale.core.work.Reservation;
import io.hornbeamscale.core.work.WorkItem;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a wrong order of waiting work, and against ignoring the memory of work from outside the agent. */
class SchedulingOrderTest {
    private final MemoryScheduler scheduler = new MemoryScheduler(SchedulerConfig.builder(new BackendId("b"), 1)
            .capacityTokens(100_000)
            .maxRunning(1)
            .build());
    private int number;
    private long now;

    private static Reservation reservation(int number, String customer, String kind, int priority, long arrived) {
        WorkItem work = new WorkItem(
                new RequestId("q" + number),
                new ServiceId("s"),
                new CustomerId(customer),
                kind,
                priority,
                100,
                10_000,
                List.of(),
                arrived,
                arrived + 1_000_000,
                true,
                false,
                false,
                "");
        return new Reservation(new AttemptId(work.request(), 1), new NodeId("e"), work);
    }

    private SendGrant run(Reservation r, int tokens) {
        SendGrant g = (SendGrant) scheduler.reserve(r, now).get(0);
        assertTrue(scheduler.start(g.attempt(), g.grant(), now));
        for (int i = 0; i < tokens; i++) {
            now += 20;
            scheduler.tokens(g.attempt(), 1, now);
        }
        return g;
    }

    private void learn() {
        for (int i = 0; i < 60; i++) {
            number++;
            SendGrant g = run(reservation(number, "a", i % 3 == 0 ? "long" : "short", 5, now), i % 3 == 0 ? 900 : 30);
            scheduler.ended(g.attempt(), true, now);
        }
    }

    /** The first reservation has the given kind, priority and age in ms; the other is new, short and of priority 5. */
    @ParameterizedTest
    @CsvSource({"long,5,1000,false", "long,5,5000,true", "long,6,1000,true", "short,4,1000,false", "short,4,6000,true"})
    void orderFollowsPriorityLengthAndAge(String kind, int priority, long age, boolean isFirst) {
        learn();
        SendGrant running = run(reservation(900, "a", "short", 5, now), 1);
        Reservation waiting = reservation(901, "a", kind, priority, now - age);
        Reservation other = reservation(902, "a", "short", 5, now);
        scheduler.reserve(waiting, now);
        scheduler.reserve(other, now);
        SendGrant next =
                (SendGrant) scheduler.ended(running.attempt(), true, now).get(0);
        assertEquals(isFirst ? waiting.attempt() : other.attempt(), next.attempt());
    }

    /** Guards against a customer that takes every slot because it came first, and against credit for a new customer. */
    @Test
    void customersTakeTurns() {
        SendGrant running = run(reservation(800, "a", "short", 5, now), 500);
        for (int i = 1; i <= 3; i++) {
            scheduler.reserve(reservation(800 + i, "a", "short", 5, now), now);
        }
        for (int i = 1; i <= 2; i++) {
            scheduler.reserve(reservation(810 + i, "b", "short", 5, now + 1), now);
        }
        for (String expected : List.of("q801", "q811", "q802", "q812", "q803")) {
            SendGrant next =
                    (SendGrant) scheduler.ended(running.attempt(), false, now).get(0);
            assertEquals(expected, next.attempt().request().value());
            assertTrue(scheduler.start(next.attempt(), next.grant(), now));
            scheduler.tokens(next.attempt(), 50, now);
            running = next;
        }
    }

    /** Guards against callers that wait although their requests cannot start in time. */
    @Test
    void waitBeyondTheDeadlineIsRefusedEarly() {
        run(reservation(700, "a", "short", 5, now), 200);
        boolean isRefused = false;
        for (int i = 0; i < 1_000 && !isRefused; i++) {
            Reservation r = reservation(701 + i, "a", "short", 5, now - 990_000);
            List<ScheduleAction> out = scheduler.reserve(r, now);
            isRefused = !out.isEmpty() && out.get(0) instanceof SendRefuse s && s.kind() == ErrorKind.OVERLOADED;
        }
        assertTrue(isRefused);
    }

    /** Guards against granting memory that other work uses, and against an old report that blocks memory forever. */
    @Test
    void reportedUseBlocksAndDecays() {
        ExternalMemoryUse use = new ExternalMemoryUse(100_000);
        use.recordOwnUse(10_000, 1_000);
        use.recordOwnUse(50_000, 2_000);
        use.report(new EngineLoad(1_500, 40_000, 5, 0));
        assertEquals(30_000, use.tokens(1_500), 1);
        assertEquals(15_000, use.tokens(6_500), 1);
        use.report(new EngineLoad(2_500, 50_500, 5, 0));
        assertEquals(0, use.tokens(2_500), 1);
    }

    /** Guards against a crash that two suspects could have caused, so that neither could be quarantined for it. */
    @Test
    void onlyOneSuspectRunsAtATime() {
        MemoryScheduler wide = new MemoryScheduler(SchedulerConfig.builder(new BackendId("b"), 1)
                .capacityTokens(100_000)
                .maxRunning(8)
                .build());
        Reservation first = suspect(reservation(700, "a", "short", 5, now));
        Reservation second = suspect(reservation(701, "b", "short", 5, now));
        assertEquals(1, wide.reserve(first, now).size());
        assertEquals(0, wide.reserve(second, now).size());
        assertEquals(
                1, wide.reserve(reservation(702, "c", "short", 5, now), now).size());
        SendGrant next = (SendGrant) wide.cancel(first.attempt(), now).get(0);
        assertEquals(second.attempt(), next.attempt());
        assertEquals(
                0,
                wide.reserve(suspect(reservation(703, "a", "short", 5, now)), now)
                        .size());
    }

    private static Reservation suspect(Reservation r) {
        return new Reservation(r.attempt(), r.entry(), r.work().asSuspect());
    }
}
