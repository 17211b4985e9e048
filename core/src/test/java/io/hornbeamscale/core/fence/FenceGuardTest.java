package io.hornbeamscale.core.fence;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.faults.InMemoryStore;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a command of a former lease holder that is executed after a command of its successor. */
class FenceGuardTest {
    private static final BackendId BACKEND = new BackendId("runner-1");

    private final InMemoryStore store = new InMemoryStore();
    private boolean isStoreDown;
    private boolean isReplyLost;

    private static FencedCommand command(String id, long fence) {
        return new FencedCommand(id, fence, 5_000);
    }

    private static FenceGuard guard(long incarnation) {
        return new FenceGuard(BACKEND, incarnation, new SplittableRandom(incarnation));
    }

    private List<FenceAction> pump(FenceGuard guard, List<FenceAction> actions, long now) {
        List<FenceAction> rest = new ArrayList<>();
        for (FenceAction action : actions) {
            if (action instanceof FenceAction.CallStore call) {
                StoreCall sent = call.call();
                StoreReply reply = isStoreDown ? new StoreReply.NoAnswer(sent.key()) : store.apply(sent, now);
                if (isReplyLost && sent instanceof StoreCall.CompareAndSwap) {
                    isReplyLost = false;
                    reply = new StoreReply.NoAnswer(sent.key());
                }
                rest.addAll(pump(guard, guard.storeReplied(sent, reply, now), now));
            } else {
                rest.add(action);
            }
        }
        return rest;
    }

    private List<FenceAction> send(FenceGuard guard, FencedCommand command, long now) {
        return pump(guard, guard.command(command, now), now);
    }

    private static List<FenceAction> refusal(FencedCommand command, ErrorKind kind) {
        return List.of(new FenceAction.Refuse(command, kind));
    }

    @Nested
    class Command {
        @Test
        void refusesALowerFenceAlsoAfterARestart() {
            assertEquals(List.of(new FenceAction.Execute(command("a", 7))), send(guard(1), command("a", 7), 0));
            assertEquals(refusal(command("b", 6), ErrorKind.STALE_FENCE), send(guard(2), command("b", 6), 1));
        }

        @Test
        void refusesAllCommandsAtASupersededAgent() {
            FenceGuard old = guard(1);
            FencedCommand first = command("a", 7);
            send(old, first, 0);
            pump(old, old.commandEnded(first, 1), 1);
            send(guard(2), command("b", 8), 2);
            assertEquals(refusal(command("c", 7), ErrorKind.STALE_FENCE), send(old, command("c", 7), 3));
            assertEquals(refusal(command("d", 9), ErrorKind.STALE_FENCE), send(old, command("d", 9), 4));
        }

        @Test
        void waitsForTheStoreUntilTheDeadlineAndThenRefuses() {
            isStoreDown = true;
            FenceGuard guard = guard(1);
            assertEquals(List.of(), send(guard, command("a", 7), 0));
            assertEquals(List.of(), pump(guard, guard.tick(4_999), 4_999));
            assertEquals(refusal(command("a", 7), ErrorKind.STORE_UNAVAILABLE), pump(guard, guard.tick(5_000), 5_000));
        }

        @Test
        void readsTheFenceAgainAfterALostReply() {
            isReplyLost = true;
            FenceGuard guard = guard(1);
            assertEquals(List.of(), send(guard, command("a", 7), 0));
            assertEquals(List.of(new FenceAction.Execute(command("a", 7))), pump(guard, guard.tick(200), 200));
            assertEquals(1, store.writes());
        }

        @Test
        void runsOneCommandAtATimeOfTheLatestHolderOnly() {
            FenceGuard guard = guard(1);
            FencedCommand first = command("a", 7);
            send(guard, first, 0);
            assertEquals(List.of(), send(guard, command("b", 7), 1));
            assertEquals(refusal(command("b", 7), ErrorKind.STALE_FENCE), send(guard, command("c", 8), 2));
            assertEquals(
                    List.of(new FenceAction.Execute(command("c", 8))), pump(guard, guard.commandEnded(first, 3), 3));
        }
    }
}
