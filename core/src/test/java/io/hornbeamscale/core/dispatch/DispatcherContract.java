package io.hornbeamscale.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.dispatch.DispatchAction.RejectCaller;
import io.hornbeamscale.core.dispatch.DispatchAction.SendCancel;
import io.hornbeamscale.core.dispatch.DispatchAction.SendReserve;
import io.hornbeamscale.core.dispatch.DispatchAction.SendStart;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.WorkItem;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** The contract of every dispatcher: a request is handed over once, and every request gets a response. */
abstract class DispatcherContract {
    private static final GrantId GRANT = new GrantId(1, 1);
    private static final RequestId REQUEST = new RequestId("r");

    private Dispatcher dispatcher;

    abstract Dispatcher create(int maxQueued, int retryPercent);

    @BeforeEach
    void start() {
        use(create(100, 100));
    }

    private void use(Dispatcher next) {
        dispatcher = next;
        for (String b : List.of("a", "b", "c")) {
            dispatcher.status(status(b, false), 0);
        }
    }

    private static BackendStatus status(String backend, boolean isDraining) {
        return new BackendStatus(new BackendId(backend), 1, 1000, 0, 0, 0, 0, 0, isDraining, Set.of());
    }

    private static WorkItem work(String request, boolean isRepeatable) {
        return new WorkItem(
                new RequestId(request),
                new ServiceId("s"),
                new CustomerId("c"),
                "short",
                5,
                10,
                100,
                List.of(),
                0,
                1000,
                isRepeatable,
                false,
                false,
                "");
    }

    private static <T> List<T> only(Class<T> type, List<DispatchAction> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private SendStart startOne(boolean isRepeatable) {
        SendReserve first = only(SendReserve.class, dispatcher.submit(work("r", isRepeatable), 0))
                .get(0);
        return only(SendStart.class, dispatcher.granted(first.backend(), first.attempt(), GRANT, 100, 1))
                .get(0);
    }

    /** Guards against a request that starts twice because both reservations are granted. */
    @Test
    void firstGrantWinsAndTheOtherIsReturned() {
        List<SendReserve> reserves = only(SendReserve.class, dispatcher.submit(work("r", true), 0));
        assertEquals(2, reserves.size());
        SendReserve first = reserves.get(0);
        SendReserve second = reserves.get(1);
        List<DispatchAction> out = dispatcher.granted(first.backend(), first.attempt(), GRANT, 100, 1);
        assertEquals(List.of(first.backend()), backends(only(SendStart.class, out)));
        assertEquals(List.of(new SendCancel(second.backend(), second.attempt())), only(SendCancel.class, out));
        out = dispatcher.granted(second.backend(), second.attempt(), GRANT, 100, 2);
        assertEquals(List.of(new SendCancel(second.backend(), second.attempt())), out);
        assertTrue(dispatcher.isLive(first.attempt()));
    }

    private static List<BackendId> backends(List<SendStart> starts) {
        return starts.stream().map(SendStart::backend).toList();
    }

    /** Guards against a repeated grant frame that cancels the running attempt it belongs to. */
    @Test
    void repeatedGrantDoesNotCancelTheRun() {
        SendStart s = startOne(true);
        assertEquals(List.of(), dispatcher.granted(s.backend(), s.attempt(), GRANT, 100, 2));
    }

    static Stream<Arguments> failures() {
        return Stream.of(
                Arguments.of(true, RunOutcome.UNKNOWN, false, true),
                Arguments.of(true, RunOutcome.RAN, false, true),
                Arguments.of(true, RunOutcome.RAN, true, false),
                Arguments.of(false, RunOutcome.UNKNOWN, false, false),
                Arguments.of(false, RunOutcome.RAN, false, false),
                Arguments.of(false, RunOutcome.NOT_RUN, false, true));
    }

    /** Guards against running a non-repeatable call twice, and against losing a repeatable call. */
    @ParameterizedTest
    @MethodSource("failures")
    void failedAttemptRunsAgainOnlyIfThatIsSafe(
            boolean isRepeatable, RunOutcome outcome, boolean isDelivered, boolean runsAgain) {
        SendStart s = startOne(isRepeatable);
        List<DispatchAction> out = dispatcher.failed(s.attempt(), ErrorKind.BACKEND_FAILED, outcome, isDelivered, 5);
        assertEquals(runsAgain, !only(SendReserve.class, out).isEmpty());
        assertEquals(!runsAgain, !only(RejectCaller.class, out).isEmpty());
        for (SendReserve r : only(SendReserve.class, out)) {
            assertEquals(s.attempt().next(), r.attempt());
            assertFalse(r.backend().equals(s.backend()));
        }
        assertFalse(dispatcher.isLive(s.attempt()));
    }

    /** Guards against requests that are neither run nor refused after a reservation was refused. */
    @ParameterizedTest
    @CsvSource({"DRAINING", "OVERLOADED", "DEADLINE_EXCEEDED", "INTERNAL"})
    void refusedReservationGoesElsewhere(ErrorKind kind) {
        List<SendReserve> reserves = only(SendReserve.class, dispatcher.submit(work("r", true), 0));
        SendReserve first = reserves.get(0);
        List<SendReserve> next =
                only(SendReserve.class, dispatcher.refused(first.backend(), first.attempt(), kind, 10, 1));
        assertEquals(1, next.size());
        assertFalse(
                reserves.stream().anyMatch(r -> r.backend().equals(next.get(0).backend())));
    }

    /** Guards against reservations that wait for a disconnected server. */
    @Test
    void lossMovesReservationsOnly() {
        List<SendReserve> reserves = only(SendReserve.class, dispatcher.submit(work("r", true), 0));
        assertEquals(1, dispatcher.lost(reserves.get(0).backend(), 1).size());
        SendStart s = startOther();
        assertEquals(List.of(), only(SendReserve.class, dispatcher.lost(s.backend(), 2)));
        assertTrue(dispatcher.isLive(s.attempt()));
    }

    private SendStart startOther() {
        SendReserve r =
                only(SendReserve.class, dispatcher.submit(work("q", true), 1)).get(0);
        return only(SendStart.class, dispatcher.granted(r.backend(), r.attempt(), GRANT, 100, 1))
                .get(0);
    }

    /** Guards against a refused start that counts as executed. */
    @Test
    void refusedStartIsReservedAgainWithANewAttempt() {
        SendStart s = startOne(false);
        List<SendReserve> again =
                only(SendReserve.class, dispatcher.refused(s.backend(), s.attempt(), ErrorKind.GRANT_EXPIRED, 0, 3));
        assertFalse(again.isEmpty());
        assertEquals(2, again.get(0).attempt().number());
    }

    /** Guards against callers that wait beyond their deadline, and against a wrong outcome in the response. */
    @Test
    void deadlineAnswersTheCallerOnce() {
        dispatcher.submit(work("r", true), 0);
        assertEquals(List.of(), only(RejectCaller.class, dispatcher.tick(999)));
        List<RejectCaller> rejects = only(RejectCaller.class, dispatcher.tick(1000));
        assertEquals(1, rejects.size());
        assertEquals(ErrorKind.DEADLINE_EXCEEDED, rejects.get(0).kind());
        assertEquals(RunOutcome.NOT_RUN, rejects.get(0).outcome());
        assertEquals(List.of(), only(RejectCaller.class, dispatcher.tick(2000)));
    }

    /** Guards against an unbounded queue, and against refused callers that all return at once. */
    @Test
    void fullQueueRefusesWithRandomRetryDelays() {
        use(create(2, 100));
        List<RejectCaller> rejects = new ArrayList<>();
        for (int i = 0; i < 22; i++) {
            rejects.addAll(only(RejectCaller.class, dispatcher.submit(work("r" + i, true), 0)));
        }
        assertEquals(20, rejects.size());
        assertTrue(rejects.stream().allMatch(r -> r.kind() == ErrorKind.OVERLOADED && r.retryAfterMillis() > 0));
        assertTrue(
                rejects.stream().map(RejectCaller::retryAfterMillis).distinct().count() > 10);
    }

    /** Guards against retries that multiply the load of a failing server. */
    @Test
    void retriesStayWithinTheBudget() {
        use(create(1000, 10));
        int again = 0;
        for (int i = 0; i < 200; i++) {
            SendReserve r = only(SendReserve.class, dispatcher.submit(work("r" + i, true), 0))
                    .get(0);
            dispatcher.granted(r.backend(), r.attempt(), GRANT, 100, 1);
            List<DispatchAction> out =
                    dispatcher.failed(r.attempt(), ErrorKind.BACKEND_FAILED, RunOutcome.UNKNOWN, false, 2);
            again += only(SendReserve.class, out).isEmpty() ? 0 : 1;
        }
        assertTrue(again > 0 && again <= 10 + 20, "retries: " + again);
    }

    /** Guards against reservations and attempts that continue without their caller. */
    @Test
    void cancellationWithdrawsEverything() {
        List<SendReserve> reserves = only(SendReserve.class, dispatcher.submit(work("r", true), 0));
        assertEquals(2, only(SendCancel.class, dispatcher.cancelled(REQUEST, 1)).size());
        SendReserve r = reserves.get(0);
        assertEquals(
                1,
                only(SendCancel.class, dispatcher.granted(r.backend(), r.attempt(), GRANT, 100, 2))
                        .size());
        SendStart s = startOne(true);
        assertEquals(List.of(new SendCancel(s.backend(), s.attempt())), dispatcher.cancelled(REQUEST, 3));
        assertFalse(dispatcher.isLive(s.attempt()));
    }

    /** Guards against new work for a leaving server, also after a delayed older status. */
    @Test
    void drainingServerIsNotReserved() {
        for (String b : List.of("a", "b", "c")) {
            dispatcher.status(status(b, true), 1);
            dispatcher.status(status(b, false), 2);
        }
        assertEquals(List.of(), only(SendReserve.class, dispatcher.submit(work("r", true), 3)));
    }

    /** Guards against waiting for a service without servers. */
    @Test
    void unknownServiceIsRefusedAtOnce() {
        assertEquals(
                ErrorKind.NO_BACKEND,
                only(RejectCaller.class, createEmpty().submit(work("r", true), 0))
                        .get(0)
                        .kind());
    }

    private Dispatcher createEmpty() {
        return create(10, 10);
    }

    /** Guards against a delayed end of a replaced attempt that ends the request. */
    @Test
    void endOfAnUnknownAttemptIsIgnored() {
        SendStart s = startOne(true);
        dispatcher.ended(new AttemptId(REQUEST, 7), 5);
        assertTrue(dispatcher.isLive(s.attempt()));
        dispatcher.ended(s.attempt(), 6);
        assertFalse(dispatcher.isLive(s.attempt()));
    }
}
