package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.attempt.AttemptState;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Lets a keyed call that must not be repeated be handed over at most once. A call proceeds only after a claim that
 * names its grant is in the store. A claim of another attempt is replaced only after the agent of that attempt has
 * promised that it never starts. Every method returns the actions to carry out, never null. Not safe for use by several
 * threads.
 *
 * <p>The answer {@code not_run} of this class is about the request at hand: its attempt is not handed over. It does not
 * say that no earlier request with the same key was executed; the caller learns that by sending the key again.
 */
public final class ClaimController {
    /** The longest time a call waits for the store, in milliseconds. */
    static final long STORE_WAIT_MILLIS = 2_000;

    /** The time after which a change is written here although another entry should write it, in milliseconds. */
    static final long FORWARD_WAIT_MILLIS = 300;

    /** The time during which a new claim of another attempt is left alone, as its start may be on the way. */
    static final long HOLDER_GRACE_MILLIS = 500;

    /** The time an agent is given to answer, in milliseconds. */
    static final long ASK_WAIT_MILLIS = 1_000;

    /** The number of results and releases that wait to be recorded; older ones are dropped while the store is down. */
    static final int MAX_BACKLOG = 2_000;

    private final NodeId self;
    private final ClaimWriter writer;
    private final Map<Long, PendingClaim> pendingByOp = new LinkedHashMap<>();
    private final ClaimBacklog backlog = new ClaimBacklog(MAX_BACKLOG);
    private final Map<Long, Remote> remotes = new LinkedHashMap<>();
    private final List<ClaimAction> actions = new ArrayList<>();
    private final Deque<Resolved> resolved = new ArrayDeque<>();
    private final Effects effects = new Effects();
    private long nextOpId;
    private long eventMillis;
    private long asked;
    private long granted;
    private long replayed;
    private long unavailable;

    /**
     * Creates a controller without members; until {@link #setMembers} is called it writes all partitions itself.
     *
     * @param self the entry, not null
     * @param settings the settings, not null
     * @param random the source of the jitter of retries, not null
     */
    public ClaimController(NodeId self, ClaimSettings settings, RandomGenerator random) {
        this.self = Arguments.notNull(self, "self");
        writer = new ClaimWriter(Arguments.notNull(settings, "settings"), Arguments.notNull(random, "random"));
        // An answer to an earlier incarnation of this entry must not match a change of this one.
        nextOpId = random.nextLong() >>> 1;
    }

    /**
     * Sets the entries among which the writers of the partitions are chosen, best those in the store's region.
     *
     * @param live the entries, not null; may be empty
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> setMembers(List<NodeId> live, long nowMillis) {
        writer.members(Arguments.notNull(live, "live"));
        return List.of();
    }

    /**
     * Asks for the claim of a call that holds a grant. Exactly one of {@link ClaimAction.Proceed},
     * {@link ClaimAction.Replay} and {@link ClaimAction.Refuse} follows.
     *
     * @param call the call, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> claim(ClaimRequest call, long nowMillis) {
        Arguments.notNull(call, "call");
        asked++;
        long storeDeadlineMillis = Math.min(call.deadlineMillis(), nowMillis + STORE_WAIT_MILLIS);
        return run(nowMillis, () -> write(new PendingClaim(call, storeDeadlineMillis)));
    }

    /**
     * Withdraws a call whose caller went away or whose grant was lost before the claim was answered.
     *
     * @param owner the attempt, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> withdrawn(ClaimOwner owner, long nowMillis) {
        return run(nowMillis, () -> {
            for (PendingClaim pending : new ArrayList<>(pendingByOp.values())) {
                if (pending.call.owner().equals(owner)) {
                    giveUp(pending);
                }
            }
        });
    }

    /**
     * Records the result of a call that was handed over.
     *
     * @param key the key, not null
     * @param owner the attempt that ran, not null
     * @param result the result, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> finished(ClaimKey key, ClaimOwner owner, ClaimResult result, long nowMillis) {
        return run(nowMillis, () -> background(ClaimOp.finish(key, owner, result)));
    }

    /**
     * Gives up the claim of an attempt that certainly never started: its start was refused with {@code not_run}, was
     * never sent, or was revoked with the agent's promise.
     *
     * @param key the key, not null
     * @param owner the attempt, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> released(ClaimKey key, ClaimOwner owner, long nowMillis) {
        return run(nowMillis, () -> background(ClaimOp.release(key, owner)));
    }

    /**
     * Handles an agent's answer about the holder of a claim.
     *
     * @param holder the attempt that was asked about, not null
     * @param state what the agent knows; {@link AttemptState#FORGOTTEN} also if the agent cannot be reached, not null
     * @param result the result if the agent still holds it, otherwise null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> revokeAnswered(ClaimOwner holder, AttemptState state, ClaimResult result, long nowMillis) {
        return run(nowMillis, () -> {
            for (PendingClaim pending : new ArrayList<>(pendingByOp.values())) {
                if (pending.phase == PendingClaim.Phase.ASKING
                        && pending.held.owner().equals(holder)) {
                    settleAsked(pending, state, result);
                }
            }
        });
    }

    /**
     * Handles a reply of the store.
     *
     * @param call the call that was replied to, not null
     * @param reply the reply, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> storeReplied(StoreCall call, StoreReply reply, long nowMillis) {
        return run(nowMillis, () -> writer.storeReplied(call, reply, effects, nowMillis));
    }

    /**
     * Carries out a change for another entry.
     *
     * @param from the entry that asks, not null
     * @param forward the change, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> forwarded(NodeId from, ForwardedClaimOp forward, long nowMillis) {
        return run(nowMillis, () -> {
            long opId = nextOpId++;
            remotes.put(opId, new Remote(from, forward.opId(), forward.op().key(), nowMillis + STORE_WAIT_MILLIS));
            writer.submit(opId, forward.op(), effects, nowMillis);
        });
    }

    /**
     * Handles the answer to a forwarded change.
     *
     * @param answer the answer, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> answered(ClaimOpReply answer, long nowMillis) {
        return run(nowMillis, () -> {
            PendingClaim pending = pendingByOp.get(answer.opId());
            if (pending != null && pending.isForwarded && pending.phase == PendingClaim.Phase.WRITING) {
                settle(pending, answer.outcome());
            }
            backlog.done(answer.opId());
        });
    }

    /**
     * Checks deadlines and repeats what was not answered. Called every few tens of milliseconds.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> tick(long nowMillis) {
        return run(nowMillis, () -> {
            for (PendingClaim pending : new ArrayList<>(pendingByOp.values())) {
                advance(pending);
            }
            for (ClaimBacklog.Item late : backlog.takeUnanswered(FORWARD_WAIT_MILLIS, nowMillis)) {
                writer.submit(late.opId(), late.op(), effects, nowMillis);
            }
            remotes.entrySet().removeIf(entry -> {
                boolean isOver = entry.getValue().untilMillis() <= nowMillis;
                if (isOver) {
                    writer.cancel(entry.getValue().key(), entry.getKey());
                }
                return isOver;
            });
            writer.tick(effects, nowMillis);
        });
    }

    /**
     * Returns the counts so far.
     *
     * @return the counts, never null
     */
    public ClaimCounters counters() {
        return new ClaimCounters(asked, granted, replayed, unavailable, backlog.lostResults());
    }

    private List<ClaimAction> run(long nowMillis, Runnable event) {
        eventMillis = nowMillis;
        event.run();
        while (!resolved.isEmpty()) {
            resolve(resolved.remove());
        }
        List<ClaimAction> result = List.copyOf(actions);
        actions.clear();
        return result;
    }

    private void write(PendingClaim pending) {
        NodeId best = writer.writerOf(pending.call.key(), self);
        pending.isForwarded = !best.equals(self);
        submit(pending, best);
    }

    private void submit(PendingClaim pending, NodeId best) {
        forget(pending);
        pending.opId = nextOpId++;
        pending.enter(PendingClaim.Phase.WRITING, eventMillis);
        pendingByOp.put(pending.opId, pending);
        ClaimOp op = ClaimOp.claim(pending.call, pending.supersedes);
        if (pending.isForwarded) {
            pending.isEverForwarded = true;
            actions.add(new ClaimAction.SendForward(best, new ForwardedClaimOp(pending.opId, op)));
        } else {
            writer.submit(pending.opId, op, effects, eventMillis);
        }
    }

    /** Returns whether the change of the call certainly has no effect on the store. */
    private boolean forget(PendingClaim pending) {
        boolean isRemoved = pendingByOp.remove(pending.opId, pending);
        return isRemoved && !pending.isForwarded && writer.cancel(pending.call.key(), pending.opId);
    }

    /** Forgets a call and removes the claim that it may have left, since that would delay the next call of this key. */
    private void giveUp(PendingClaim pending) {
        if (!forget(pending) || pending.isEverForwarded) {
            background(ClaimOp.release(pending.call.key(), pending.call.owner()));
        }
    }

    /** Writes a change that no caller waits for; it is repeated until the store answers. */
    private void background(ClaimOp op) {
        long opId = nextOpId++;
        NodeId best = writer.writerOf(op.key(), self);
        boolean isForwarded = !best.equals(self);
        ClaimBacklog.Item dropped = backlog.add(opId, op, isForwarded, eventMillis);
        if (dropped != null) {
            writer.cancel(dropped.op().key(), dropped.opId());
        }
        if (isForwarded) {
            actions.add(new ClaimAction.SendForward(best, new ForwardedClaimOp(opId, op)));
        } else {
            writer.submit(opId, op, effects, eventMillis);
        }
    }

    private void advance(PendingClaim pending) {
        if (eventMillis >= pending.deadlineMillis()) {
            expire(pending);
            return;
        }
        long inPhase = eventMillis - pending.phaseMillis;
        if (pending.phase == PendingClaim.Phase.WRITING) {
            if (pending.isForwarded && inPhase >= FORWARD_WAIT_MILLIS) {
                pending.isForwarded = false;
                submit(pending, self);
            }
        } else if (pending.phase == PendingClaim.Phase.WAITING) {
            if (inPhase >= HOLDER_GRACE_MILLIS && pending.isAsked) {
                write(pending);
            } else if (inPhase >= HOLDER_GRACE_MILLIS) {
                ask(pending);
            }
        } else if (inPhase >= ASK_WAIT_MILLIS) {
            refuse(pending, ErrorKind.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN);
        }
    }

    private void expire(PendingClaim pending) {
        if (pending.held == null) {
            unavailable++;
            refuse(pending, ErrorKind.CLAIMS_UNAVAILABLE, RunOutcome.NOT_RUN);
        } else {
            refuse(pending, ErrorKind.IN_PROGRESS, RunOutcome.UNKNOWN);
        }
    }

    private void ask(PendingClaim pending) {
        pending.isAsked = true;
        pending.enter(PendingClaim.Phase.ASKING, eventMillis);
        actions.add(new ClaimAction.AskRevoke(pending.held.owner()));
    }

    private void settleAsked(PendingClaim pending, AttemptState state, ClaimResult result) {
        if (state == AttemptState.NEVER_STARTED) {
            pending.supersedes = pending.held.owner();
            pending.isAsked = false;
            write(pending);
        } else if (state == AttemptState.RUNNING) {
            pending.enter(PendingClaim.Phase.WAITING, eventMillis);
        } else if (state == AttemptState.ENDED && result != null) {
            background(ClaimOp.finish(pending.call.key(), pending.held.owner(), result));
            replay(pending, result);
        } else {
            refuse(pending, ErrorKind.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN);
        }
    }

    private void settle(PendingClaim pending, ClaimOutcome outcome) {
        switch (outcome.kind()) {
            case GRANTED -> {
                granted++;
                forget(pending);
                actions.add(new ClaimAction.Proceed(pending.call.owner()));
            }
            case HELD -> held(pending, outcome.found());
            case DONE -> replay(pending, outcome.found().result());
            case KEY_REUSED -> refuse(pending, ErrorKind.KEY_REUSED, RunOutcome.NOT_RUN);
            default -> {
                unavailable++;
                refuse(pending, ErrorKind.CLAIMS_UNAVAILABLE, RunOutcome.NOT_RUN);
            }
        }
    }

    private void held(PendingClaim pending, ClaimRecord found) {
        boolean isSameHolder = pending.held != null && pending.held.owner().equals(found.owner());
        pending.held = found;
        if (isSameHolder && pending.isAsked) {
            ask(pending);
            return;
        }
        pending.isAsked = false;
        pending.enter(PendingClaim.Phase.WAITING, eventMillis);
    }

    private void replay(PendingClaim pending, ClaimResult result) {
        forget(pending);
        if (result.bodyBase64() == null) {
            actions.add(new ClaimAction.Refuse(pending.call.owner(), ErrorKind.STREAM_EXPIRED, RunOutcome.RAN));
            return;
        }
        replayed++;
        actions.add(new ClaimAction.Replay(pending.call.owner(), result));
    }

    private void refuse(PendingClaim pending, ErrorKind kind, RunOutcome outcome) {
        actions.add(new ClaimAction.Refuse(pending.call.owner(), kind, outcome));
        if (kind == ErrorKind.KEY_REUSED) {
            forget(pending);
        } else {
            giveUp(pending);
        }
    }

    private void resolve(Resolved done) {
        Remote remote = remotes.remove(done.opId());
        if (remote != null) {
            actions.add(new ClaimAction.SendAnswer(remote.entry(), new ClaimOpReply(remote.opId(), done.outcome())));
            return;
        }
        backlog.done(done.opId());
        PendingClaim pending = pendingByOp.get(done.opId());
        if (pending != null) {
            settle(pending, done.outcome());
        }
    }

    private record Remote(NodeId entry, long opId, ClaimKey key, long untilMillis) {}

    private record Resolved(long opId, ClaimOutcome outcome) {}

    /** Collects outcomes, as a partition writer must not be called again while it reports one. */
    private final class Effects implements ClaimEffects {
        @Override
        public void call(StoreCall call) {
            actions.add(new ClaimAction.CallStore(call));
        }

        @Override
        public void resolve(long opId, ClaimOutcome outcome) {
            resolved.add(new Resolved(opId, outcome));
        }
    }
}
