package io.hornbeamscale.core.fence;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Passes commands to a backend server only if no higher fencing number was seen. The highest number is kept in the
 * store together with the incarnation of the guard and is compared before each command, so neither a restart nor a
 * second agent process can lower it. Commands run one at a time. Every method returns the actions to carry out, never
 * null. Not safe for use by several threads.
 */
public final class FenceGuard {
    private static final long MIN_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 3_200;

    private final String storeKey;
    private final long incarnation;
    private final RandomGenerator random;
    private final Deque<FencedCommand> waiting = new ArrayDeque<>();
    private FencedCommand executing;
    private StoreCall inFlight;
    private long highestFence;
    private long notBeforeMillis = Long.MIN_VALUE;
    private int failures;
    private boolean isSuperseded;

    /**
     * Creates a guard. It reads the highest number from the store before the first command.
     *
     * @param backend the backend server, not null
     * @param incarnation the incarnation of the agent, higher than that of every earlier agent of this backend server
     * @param random the source of the jitter of retries, not null
     */
    public FenceGuard(BackendId backend, long incarnation, RandomGenerator random) {
        this.storeKey = "fences/" + Arguments.notNull(backend, "backend");
        this.incarnation = Arguments.notNegative(incarnation, "incarnation");
        this.random = Arguments.notNull(random, "random");
    }

    /**
     * Handles a command. Exactly one of {@link FenceAction.Execute} and {@link FenceAction.Refuse} follows.
     *
     * @param command the command, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<FenceAction> command(FencedCommand command, long nowMillis) {
        List<FenceAction> actions = new ArrayList<>();
        waiting.add(Arguments.notNull(command, "command"));
        highestFence = Math.max(highestFence, command.fence());
        refuseWaiting(actions, nowMillis);
        readIfIdle(actions, nowMillis);
        return actions;
    }

    /**
     * Records that a command has ended, whatever its result.
     *
     * @param command the command, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<FenceAction> commandEnded(FencedCommand command, long nowMillis) {
        List<FenceAction> actions = new ArrayList<>();
        if (command.equals(executing)) {
            executing = null;
            readIfIdle(actions, nowMillis);
        }
        return actions;
    }

    /**
     * Handles a reply of the store.
     *
     * @param call the call that was replied to, not null
     * @param reply the reply, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<FenceAction> storeReplied(StoreCall call, StoreReply reply, long nowMillis) {
        List<FenceAction> actions = new ArrayList<>();
        if (!call.equals(inFlight)) {
            return actions;
        }
        inFlight = null;
        if (reply instanceof StoreReply.NoAnswer) {
            backOff(nowMillis);
            return actions;
        }
        failures = 0;
        if (reply instanceof StoreReply.Found found) {
            read(found, actions, nowMillis);
        } else if (reply instanceof StoreReply.Missing) {
            compare(new StoredFence(0, 0), 0, actions, nowMillis);
        } else if (reply instanceof StoreReply.Swapped && call instanceof StoreCall.CompareAndSwap swap) {
            compare(StoredFence.parse(swap.value()), -1, actions, nowMillis);
        } else {
            readIfIdle(actions, nowMillis);
        }
        return actions;
    }

    /**
     * Repeats calls to the store and refuses commands whose deadline has passed.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<FenceAction> tick(long nowMillis) {
        List<FenceAction> actions = new ArrayList<>();
        refuseWaiting(actions, nowMillis);
        readIfIdle(actions, nowMillis);
        return actions;
    }

    /**
     * Returns the highest fencing number seen.
     *
     * @return the fencing number, 0 before the first command
     */
    public long highestFence() {
        return highestFence;
    }

    private void backOff(long nowMillis) {
        long backoff = Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << Math.min(failures, 10));
        failures++;
        notBeforeMillis = nowMillis + backoff / 2 + random.nextLong(backoff / 2 + 1);
    }

    private void read(StoreReply.Found found, List<FenceAction> actions, long nowMillis) {
        StoredFence stored;
        try {
            stored = StoredFence.parse(found.value());
        } catch (IllegalArgumentException e) {
            // An unreadable value cannot be compared, so commands wait until their deadline.
            backOff(nowMillis);
            return;
        }
        compare(stored, found.revision(), actions, nowMillis);
    }

    private void readIfIdle(List<FenceAction> actions, long nowMillis) {
        if (inFlight == null && executing == null && !waiting.isEmpty() && nowMillis >= notBeforeMillis) {
            call(new StoreCall.Get(storeKey), actions);
        }
    }

    private void compare(StoredFence stored, long revision, List<FenceAction> actions, long nowMillis) {
        highestFence = Math.max(highestFence, stored.fence());
        isSuperseded |= stored.incarnation() > incarnation;
        refuseWaiting(actions, nowMillis);
        if (waiting.isEmpty()) {
            return;
        }
        StoredFence wanted = new StoredFence(highestFence, incarnation);
        if (stored.equals(wanted)) {
            executing = waiting.remove();
            actions.add(new FenceAction.Execute(executing));
        } else if (revision >= 0) {
            call(new StoreCall.CompareAndSwap(storeKey, revision, wanted.toString()), actions);
        } else {
            readIfIdle(actions, nowMillis);
        }
    }

    private void refuseWaiting(List<FenceAction> actions, long nowMillis) {
        waiting.removeIf(command -> {
            boolean isStale = isSuperseded || command.fence() < highestFence;
            boolean isExpired = command.deadlineMillis() <= nowMillis;
            if (isStale || isExpired) {
                ErrorKind kind = isStale ? ErrorKind.STALE_FENCE : ErrorKind.STORE_UNAVAILABLE;
                actions.add(new FenceAction.Refuse(command, kind));
            }
            return isStale || isExpired;
        });
    }

    private void call(StoreCall call, List<FenceAction> actions) {
        inFlight = call;
        actions.add(new FenceAction.CallStore(call));
    }

    /**
     * The value in the store, in the text form {@code fence incarnation}.
     *
     * @param fence the highest fencing number seen
     * @param incarnation the incarnation of the guard that wrote it
     */
    private record StoredFence(long fence, long incarnation) {
        static StoredFence parse(String text) {
            int space = text.indexOf(' ');
            if (space < 0) {
                throw new IllegalArgumentException("a stored fence has two numbers: " + text);
            }
            return new StoredFence(Long.parseLong(text.substring(0, space)), Long.parseLong(text.substring(space + 1)));
        }

        @Override
        public String toString() {
            return fence + " " + incarnation;
        }
    }
}
