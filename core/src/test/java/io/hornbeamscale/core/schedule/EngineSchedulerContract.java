package io.hornbeamscale.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.schedule.ScheduleAction.SendGrant;
import io.hornbeamscale.core.schedule.ScheduleAction.SendRefuse;
import io.hornbeamscale.core.work.Reservation;
import io.hornbeamscale.core.work.WorkItem;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The contract of every engine scheduler: grants are used once, memory is not exceeded, and nothing waits forever. */
abstract class EngineSchedulerContract {
    static final int GRANT_MILLIS = 1000;
    static final long DEADLINE = 10_000;

    abstract EngineScheduler create(long capacityTokens, int maxRunning, int maxWaiting);

    static AttemptId attempt(int number) {
        return new AttemptId(new RequestId("r" + number), 1);
    }

    static Reservation reservation(int number, int promptTokens) {
        WorkItem work = new WorkItem(
                attempt(number).request(),
                new ServiceId("s"),
                new CustomerId("c"),
                "short",
                5,
                promptTokens,
                10,
                List.of(),
                0,
                DEADLINE,
                true,
                promptTokens == 0,
                false,
                "");
        return new Reservation(attempt(number), new NodeId("e"), work);
    }

    static List<SendGrant> grants(List<ScheduleAction> actions) {
        return actions.stream()
                .filter(SendGrant.class::isInstance)
                .map(SendGrant.class::cast)
                .toList();
    }

    static List<SendRefuse> refusals(List<ScheduleAction> actions) {
        return actions.stream()
                .filter(SendRefuse.class::isInstance)
                .map(SendRefuse.class::cast)
                .toList();
    }

    static SendGrant grantOne(EngineScheduler scheduler, int number) {
        return grants(scheduler.reserve(reservation(number, 10), 0)).get(0);
    }

    /** Guards against accepting a start whose grant is used, expired, of another attempt or of a former process. */
    @ParameterizedTest
    @CsvSource({"1,true,999,true", "1,true,1000,false", "2,true,0,false", "1,false,0,false"})
    void startNeedsAValidGrant(long incarnation, boolean isOwnAttempt, long nowMillis, boolean isAccepted) {
        EngineScheduler s = create(1000, 10, 10);
        SendGrant g = grantOne(s, 1);
        grantOne(s, 2);
        GrantId used = new GrantId(incarnation, g.grant().sequence());
        assertEquals(isAccepted, s.start(isOwnAttempt ? attempt(1) : attempt(2), used, nowMillis));
        assertFalse(isAccepted && s.start(attempt(1), used, nowMillis));
    }

    /** Guards against more running requests than allowed, and against slots that are never freed. */
    @ParameterizedTest
    @CsvSource({"cancel", "end", "expire"})
    void freedSlotGoesToTheNext(String how) {
        EngineScheduler s = create(1000, 1, 10);
        SendGrant g = grantOne(s, 1);
        assertEquals(List.of(), s.reserve(reservation(2, 10), 0));
        List<ScheduleAction> out = new ArrayList<>();
        switch (how) {
            case "cancel" -> out.addAll(s.cancel(attempt(1), 1));
            case "end" -> {
                assertTrue(s.start(attempt(1), g.grant(), 1));
                out.addAll(s.ended(attempt(1), true, 2));
            }
            default -> out.addAll(s.tick(GRANT_MILLIS));
        }
        assertEquals(attempt(2), grants(out).get(0).attempt());
        assertEquals(1, s.status(GRANT_MILLIS).running());
    }

    /** Guards against a late cancellation that releases the accounted memory of a running attempt. */
    @Test
    void cancelDoesNotReleaseARunningAttempt() {
        EngineScheduler s = create(1000, 1, 10);
        assertTrue(s.start(attempt(1), grantOne(s, 1).grant(), 1));
        s.reserve(reservation(2, 10), 1);
        assertEquals(List.of(), s.cancel(attempt(1), 2));
        assertEquals(10, s.status(2).usedTokens());
    }

    /** Guards against granting the same memory twice. */
    @Test
    void memoryBoundsGrants() {
        EngineScheduler s = create(1000, 100, 100);
        int granted = 0;
        for (int i = 1; i <= 20; i++) {
            granted += grants(s.reserve(reservation(i, 200), 0)).size();
        }
        assertTrue(granted >= 3 && granted <= 4, "granted: " + granted);
        assertEquals(20 - granted, s.status(0).waiting());
    }

    /** Guards against plain services that admit no work because they have no memory capacity. */
    @Test
    void plainServiceIsBoundedByRunningOnly() {
        EngineScheduler s = create(0, 3, 100);
        int granted = 0;
        for (int i = 1; i <= 5; i++) {
            granted += grants(s.reserve(reservation(i, 0), 0)).size();
        }
        assertEquals(3, granted);
    }

    /** Guards against an unbounded queue, and against queueing work that can never run. */
    @Test
    void fullQueueAndOversizedWorkAreRefused() {
        EngineScheduler s = create(1000, 1, 1);
        grantOne(s, 1);
        assertEquals(List.of(), s.reserve(reservation(2, 10), 0));
        assertEquals(
                ErrorKind.OVERLOADED,
                refusals(s.reserve(reservation(3, 10), 0)).get(0).kind());
        assertEquals(
                ErrorKind.OVERLOADED,
                refusals(create(1000, 1, 9).reserve(reservation(4, 1001), 0))
                        .get(0)
                        .kind());
    }

    /** Guards against reservations that wait beyond their deadline. */
    @Test
    void deadlineRefusesWaitingWork() {
        EngineScheduler s = create(1000, 1, 10);
        assertTrue(s.start(attempt(1), grantOne(s, 1).grant(), 1));
        s.reserve(reservation(2, 10), 1);
        assertEquals(List.of(), refusals(s.tick(DEADLINE - 1)));
        assertEquals(
                ErrorKind.DEADLINE_EXCEEDED, refusals(s.tick(DEADLINE)).get(0).kind());
        assertEquals(0, s.status(DEADLINE).waiting());
    }

    /** Guards against new work on a leaving server, and against a drain that interrupts running work. */
    @Test
    void drainRefusesWaitingAndNewWork() {
        EngineScheduler s = create(1000, 1, 10);
        assertTrue(s.start(attempt(1), grantOne(s, 1).grant(), 1));
        s.reserve(reservation(2, 10), 1);
        assertEquals(ErrorKind.DRAINING, refusals(s.drain(2)).get(0).kind());
        assertEquals(
                ErrorKind.DRAINING,
                refusals(s.reserve(reservation(3, 10), 3)).get(0).kind());
        assertTrue(s.status(3).isDraining());
        assertEquals(1, s.status(3).running());
    }

    /** Guards against a repeated reservation frame that is granted twice. */
    @Test
    void repeatedReservationIsIgnored() {
        EngineScheduler s = create(1000, 10, 10);
        grantOne(s, 1);
        assertEquals(List.of(), s.reserve(reservation(1, 10), 1));
        assertEquals(1, s.status(1).running());
    }
}
