package io.hornbeamscale.core.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.attempt.AttemptState;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.faults.InMemoryStore;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.store.StoreReply;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a second execution of a call with the same key and against claims that block a key needlessly. */
class ClaimControllerTest {
    private static final ClaimKey KEY = new ClaimKey("key-1");
    private static final ClaimSettings SETTINGS = new ClaimSettings(4, 2_000, 64, 10_000, 0, 0, 1_000_000);
    private static final ClaimResult RESULT = ClaimResult.of(201, "text/plain", new byte[] {1, 2}, 64);

    private final InMemoryStore store = new InMemoryStore();
    private final Entry first = new Entry("entry-1");
    private final Entry second = new Entry("entry-2");
    private long now;

    private enum StoreFault {
        NONE,
        LOST_CALLS,
        LOST_REPLIES
    }

    /** One entry whose store calls are carried out immediately. */
    private final class Entry {
        private final ClaimController controller;
        private StoreFault fault = StoreFault.NONE;

        Entry(String name) {
            controller = new ClaimController(new NodeId(name), SETTINGS, new SplittableRandom(name.hashCode()));
        }

        List<ClaimAction> pump(List<ClaimAction> actions) {
            List<ClaimAction> rest = new ArrayList<>();
            for (ClaimAction action : actions) {
                if (action instanceof ClaimAction.CallStore call) {
                    StoreReply reply = fault == StoreFault.LOST_CALLS ? null : store.apply(call.call(), now);
                    if (fault != StoreFault.NONE) {
                        reply = new StoreReply.NoAnswer(call.call().key());
                    }
                    rest.addAll(pump(controller.storeReplied(call.call(), reply, now)));
                } else {
                    rest.add(action);
                }
            }
            return rest;
        }

        List<ClaimAction> claim(ClaimOwner owner, String fingerprint) {
            return pump(controller.claim(new ClaimRequest(KEY, fingerprint, owner, null, now + 5_000), now));
        }

        List<ClaimAction> runUntil(long untilMillis) {
            List<ClaimAction> all = new ArrayList<>();
            for (; now < untilMillis; now += 50) {
                all.addAll(pump(controller.tick(now)));
            }
            return all;
        }
    }

    private static ClaimOwner owner(int number) {
        AttemptId attempt = new AttemptId(new RequestId("r" + number), 1);
        return new ClaimOwner(attempt, new BackendId("plain-1"), new GrantId(1, number));
    }

    private static ClaimAction refusal(int number, ErrorKind kind, RunOutcome outcome) {
        return new ClaimAction.Refuse(owner(number), kind, outcome);
    }

    @Nested
    class Claim {
        @Test
        void repeatsTheResultAtEveryEntry() {
            assertEquals(List.of(new ClaimAction.Proceed(owner(1))), first.claim(owner(1), "body"));
            first.pump(first.controller.finished(KEY, owner(1), RESULT, now));
            assertEquals(List.of(new ClaimAction.Replay(owner(2), RESULT)), second.claim(owner(2), "body"));
            assertEquals(
                    List.of(refusal(3, ErrorKind.KEY_REUSED, RunOutcome.NOT_RUN)), second.claim(owner(3), "other"));
        }

        @Test
        void reportsAResultThatWasTooLargeToStore() {
            first.claim(owner(1), "body");
            ClaimResult large = ClaimResult.of(201, "text/plain", new byte[65], 64);
            first.pump(first.controller.finished(KEY, owner(1), large, now));
            assertEquals(List.of(refusal(2, ErrorKind.STREAM_EXPIRED, RunOutcome.RAN)), second.claim(owner(2), "body"));
        }

        @ParameterizedTest
        @EnumSource(
                value = StoreFault.class,
                names = {"LOST_CALLS", "LOST_REPLIES"})
        void refusesWithNotRunDuringAnOutageAndLeavesTheKeyUsable(StoreFault fault) {
            first.fault = fault;
            List<ClaimAction> actions = new ArrayList<>(first.claim(owner(1), "body"));
            actions.addAll(first.runUntil(2_100));
            assertEquals(List.of(refusal(1, ErrorKind.CLAIMS_UNAVAILABLE, RunOutcome.NOT_RUN)), actions);
            assertEquals(1.0, first.controller.counters().unavailableShare());
            first.fault = StoreFault.NONE;
            first.runUntil(5_000);
            assertEquals(List.of(new ClaimAction.Proceed(owner(2))), second.claim(owner(2), "body"));
        }

        @Test
        void recognisesItsOwnWriteAfterALostReply() {
            first.claim(owner(9), "other");
            first.pump(first.controller.released(KEY, owner(9), now));
            first.fault = StoreFault.LOST_REPLIES;
            assertEquals(List.of(), first.claim(owner(1), "body"));
            first.fault = StoreFault.NONE;
            assertEquals(List.of(new ClaimAction.Proceed(owner(1))), first.runUntil(now + 500));
        }

        @Test
        void refusesNewClaimsInAFullPartitionAndKeepsExistingOnes() {
            int granted = 0;
            for (int number = 1; number < 20; number++) {
                ClaimRequest call =
                        new ClaimRequest(new ClaimKey("k" + number * 4), "body", owner(number), null, 5_000);
                granted +=
                        first.pump(first.controller.claim(call, now)).contains(new ClaimAction.Proceed(owner(number)))
                                ? 1
                                : 0;
            }
            assertTrue(granted >= 8 && granted < 19, "granted " + granted);
            ClaimRequest again = new ClaimRequest(new ClaimKey("k4"), "body", owner(30), null, 5_000);
            assertEquals(List.of(), second.pump(second.controller.claim(again, now)));
            assertEquals(List.of(new ClaimAction.AskRevoke(owner(1))), second.runUntil(600));
        }

        @Test
        void dropsAClaimOnlyAfterItsRetention() {
            first.claim(owner(1), "body");
            first.pump(first.controller.finished(KEY, owner(1), RESULT, now));
            now = 9_999;
            assertEquals(List.of(new ClaimAction.Replay(owner(2), RESULT)), second.claim(owner(2), "body"));
            now = 10_000;
            assertEquals(List.of(new ClaimAction.Proceed(owner(3))), second.claim(owner(3), "body"));
        }
    }

    @Nested
    class LongOutage {
        private static final int CALLS = 3_000;

        private void callFor(long hours) {
            for (int number = 1; number <= CALLS; number++) {
                now += hours * 3_600_000 / CALLS;
                ClaimRequest call =
                        new ClaimRequest(new ClaimKey("k" + number), "body", owner(number), null, now + 9_000);
                first.pump(first.controller.claim(call, now));
                first.pump(first.controller.tick(now));
            }
            first.runUntil(now + 2_100);
        }

        @Test
        void refusesEveryClaimAndGrantsAgainAfterwards() {
            first.fault = StoreFault.LOST_CALLS;
            callFor(3);
            assertEquals(CALLS, first.controller.counters().requested());
            assertEquals(CALLS, first.controller.counters().unavailable());
            first.fault = StoreFault.NONE;
            List<ClaimAction> actions = new ArrayList<>(first.claim(owner(CALLS + 1), "body"));
            actions.addAll(first.runUntil(now + 1_900));
            assertEquals(List.of(new ClaimAction.Proceed(owner(CALLS + 1))), actions);
        }

        @Test
        void keepsALimitedNumberOfResults() {
            first.fault = StoreFault.LOST_CALLS;
            for (int number = 1; number <= CALLS; number++) {
                ClaimKey key = new ClaimKey("k" + number);
                first.pump(first.controller.finished(key, owner(number), RESULT, now));
            }
            assertEquals(
                    CALLS - ClaimController.MAX_BACKLOG,
                    first.controller.counters().lostResults());
        }
    }

    @Nested
    class Holder {
        private List<ClaimAction> ask(AttemptState state, ClaimResult result) {
            first.claim(owner(1), "body");
            assertEquals(List.of(), second.claim(owner(2), "body"));
            assertEquals(List.of(new ClaimAction.AskRevoke(owner(1))), second.runUntil(600));
            return second.pump(second.controller.revokeAnswered(owner(1), state, result, now));
        }

        @Test
        void isReplacedIfItNeverStarted() {
            assertEquals(List.of(new ClaimAction.Proceed(owner(2))), ask(AttemptState.NEVER_STARTED, null));
        }

        @Test
        void isReplacedByOneCallOnly() {
            Entry third = new Entry("entry-3");
            first.claim(owner(1), "body");
            second.claim(owner(2), "body");
            third.claim(owner(3), "body");
            second.runUntil(600);
            third.pump(third.controller.tick(now));
            assertEquals(
                    List.of(new ClaimAction.Proceed(owner(2))),
                    second.pump(second.controller.revokeAnswered(owner(1), AttemptState.NEVER_STARTED, null, now)));
            assertEquals(
                    List.of(),
                    third.pump(third.controller.revokeAnswered(owner(1), AttemptState.NEVER_STARTED, null, now)));
        }

        @ParameterizedTest
        @EnumSource(
                value = AttemptState.class,
                names = {"FORGOTTEN", "ENDED"})
        void withoutAKnownResultLeavesTheOutcomeUnknown(AttemptState state) {
            assertEquals(List.of(refusal(2, ErrorKind.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN)), ask(state, null));
        }

        @Test
        void thatEndedYieldsItsResult() {
            assertEquals(List.of(new ClaimAction.Replay(owner(2), RESULT)), ask(AttemptState.ENDED, RESULT));
            assertEquals(List.of(new ClaimAction.Replay(owner(3), RESULT)), first.claim(owner(3), "body"));
        }

        @Test
        void thatRunsIsAskedAgainUntilTheDeadline() {
            assertEquals(List.of(), ask(AttemptState.RUNNING, null));
            assertEquals(List.of(new ClaimAction.AskRevoke(owner(1))), second.runUntil(now + 600));
            second.controller.revokeAnswered(owner(1), AttemptState.RUNNING, null, now);
            now = 5_000;
            assertEquals(
                    List.of(refusal(2, ErrorKind.IN_PROGRESS, RunOutcome.UNKNOWN)),
                    second.pump(second.controller.tick(now)));
        }
    }

    @Nested
    class Forwarded {
        @Test
        void isAnsweredByTheWriterOrElseWrittenLocally() {
            first.controller.setMembers(List.of(new NodeId("entry-2")), now);
            ClaimAction.SendForward sent =
                    (ClaimAction.SendForward) first.claim(owner(1), "body").get(0);
            List<ClaimAction> answered =
                    second.pump(second.controller.forwarded(new NodeId("entry-1"), sent.forward(), now));
            ClaimAction.SendAnswer answer = (ClaimAction.SendAnswer) answered.get(0);
            assertEquals(List.of(new ClaimAction.Proceed(owner(1))), first.controller.answered(answer.answer(), now));
            first.claim(owner(2), "body");
            assertEquals(List.of(), first.controller.answered(answer.answer(), now));
            assertEquals(List.of(new ClaimAction.AskRevoke(owner(1))), first.runUntil(now + 1_000));
        }
    }
}
