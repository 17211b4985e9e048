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
 * Ensures that a call with an idempotency key that must not be repeated is handed over at most once. A call proceeds
 * only after a claim that names its grant is in the store. The claim of another attempt is replaced only after the
 * agent of that attempt has confirmed that it never starts. Every method returns the actions to carry out, never null.
 * Not safe for use by several threads.
 *
 * <p>The outcome {@code not_run} refers to the current request only: its attempt is not handed over. An earlier request
 * with the same key may have been executed; the caller finds out by sending the key again.
 */
public final class ClaimController {
    /** How long a call waits for the store, in milliseconds. */
    static final long STORE_TIMEOUT_MILLIS = 2_000;

    /** How long to wait for the writer of a partition before its operation is written locally, in milliseconds. */
    static final long FORWARD_TIMEOUT_MILLIS = 300;

    /**
     * How long to wait before the agent of a claim's holder is asked, as its start may be in transit, in milliseconds.
     */
    static final long HOLDER_GRACE_MILLIS = 500;

    /** How long to wait for an agent's answer to a revocation, in milliseconds. */
    static final long REVOKE_TIMEOUT_MILLIS = 1_000;

    /** The maximum number of results and releases that wait for the store; above it, the oldest are dropped. */
    static final int MAX_BACKLOG = 2_000;

    private final NodeId self;
    private final ClaimPartitionWriters writers;
    private final Map<Long, PendingClaim> pendingByOp = new LinkedHashMap<>();
    private final ClaimBacklog backlog = new ClaimBacklog(MAX_BACKLOG);
    private final Map<Long, RemoteOp> remoteOps = new LinkedHashMap<>();
    private final List<ClaimAction> actions = new ArrayList<>();
    private final Deque<CompletedOp> completedOps = new ArrayDeque<>();
    private final WriteListener writeListener = new WriteListener();
    private long nextOpId;
    private long eventMillis;
    private long requested;
    private long granted;
    private long replayed;
    private long unavailable;

    /**
     * Creates a controller without members; until {@link #setMembers} is called, it writes all partitions itself.
     *
     * @param self the entry, not null
     * @param settings the settings, not null
     * @param random the source of the jitter of retries, not null
     */
    public ClaimController(NodeId self, ClaimSettings settings, RandomGenerator random) {
        this.self = Arguments.notNull(self, "self");
        writers =
                new ClaimPartitionWriters(Arguments.notNull(settings, "settings"), Arguments.notNull(random, "random"));
        // A random start, so that a reply to an earlier incarnation of this entry matches no operation of this one.
        nextOpId = random.nextLong() >>> 1;
    }

    /**
     * Sets the entries from which the writers of the partitions are chosen, preferably those in the store's region.
     *
     * @param live the entries, not null; may be empty
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> setMembers(List<NodeId> live, long nowMillis) {
        writers.setMembers(Arguments.notNull(live, "live"));
        return List.of();
    }

    /**
     * Requests the claim for a call that holds a grant. Exactly one of {@link ClaimAction.Proceed},
     * {@link ClaimAction.Replay} and {@link ClaimAction.Refuse} follows.
     *
     * @param request the claim request, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> claim(ClaimRequest request, long nowMillis) {
        Arguments.notNull(request, "request");
        requested++;
        long storeDeadlineMillis = Math.min(request.deadlineMillis(), nowMillis + STORE_TIMEOUT_MILLIS);
        return handle(nowMillis, () -> write(new PendingClaim(request, storeDeadlineMillis)));
    }

    /**
     * Withdraws a call whose caller disconnected or whose grant was lost before the claim was answered.
     *
     * @param owner the attempt, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> withdrawn(ClaimOwner owner, long nowMillis) {
        return handle(nowMillis, () -> {
            for (PendingClaim pending : new ArrayList<>(pendingByOp.values())) {
                if (pending.request.owner().equals(owner)) {
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
        return handle(nowMillis, () -> submitInBackground(ClaimOp.finish(key, owner, result)));
    }

    /**
     * Releases the claim of an attempt that is known never to have started: its start was refused with {@code not_run},
     * was never sent, or was revoked before it began.
     *
     * @param key the key, not null
     * @param owner the attempt, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> released(ClaimKey key, ClaimOwner owner, long nowMillis) {
        return handle(nowMillis, () -> submitInBackground(ClaimOp.release(key, owner)));
    }

    /**
     * Handles an agent's answer about the holder of a claim.
     *
     * @param holder the attempt that was asked about, not null
     * @param state the reported state, {@link AttemptState#FORGOTTEN} also if the agent cannot be reached, not null
     * @param result the result if the agent still holds it, otherwise null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> revokeAnswered(ClaimOwner holder, AttemptState state, ClaimResult result, long nowMillis) {
        return handle(nowMillis, () -> {
            for (PendingClaim pending : new ArrayList<>(pendingByOp.values())) {
                if (pending.phase == PendingClaim.Phase.ASKING
                        && pending.holderClaim.owner().equals(holder)) {
                    settleByHolderState(pending, state, result);
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
        return handle(nowMillis, () -> writers.storeReplied(call, reply, writeListener, nowMillis));
    }

    /**
     * Carries out an operation for another entry.
     *
     * @param from the requesting entry, not null
     * @param forward the operation, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> forwarded(NodeId from, ForwardedClaimOp forward, long nowMillis) {
        return handle(nowMillis, () -> {
            long opId = nextOpId++;
            remoteOps.put(
                    opId, new RemoteOp(from, forward.opId(), forward.op().key(), nowMillis + STORE_TIMEOUT_MILLIS));
            writers.submit(opId, forward.op(), writeListener, nowMillis);
        });
    }

    /**
     * Handles the answer to a forwarded operation.
     *
     * @param answer the answer, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> answered(ClaimOpReply answer, long nowMillis) {
        return handle(nowMillis, () -> {
            PendingClaim pending = pendingByOp.get(answer.opId());
            if (pending != null && pending.isForwarded && pending.phase == PendingClaim.Phase.WRITING) {
                settle(pending, answer.outcome());
            }
            backlog.remove(answer.opId());
        });
    }

    /**
     * Applies deadlines and repeats unanswered operations. Called every few tens of milliseconds.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ClaimAction> tick(long nowMillis) {
        return handle(nowMillis, () -> {
            for (PendingClaim pending : new ArrayList<>(pendingByOp.values())) {
                advance(pending);
            }
            for (ClaimBacklog.Item late : backlog.takeUnanswered(FORWARD_TIMEOUT_MILLIS, nowMillis)) {
                writers.submit(late.opId(), late.op(), writeListener, nowMillis);
            }
            remoteOps.entrySet().removeIf(entry -> {
                boolean isTimedOut = entry.getValue().untilMillis() <= nowMillis;
                if (isTimedOut) {
                    writers.cancel(entry.getValue().key(), entry.getKey());
                }
                return isTimedOut;
            });
            writers.tick(writeListener, nowMillis);
        });
    }

    /**
     * Returns the counts so far.
     *
     * @return the counts, never null
     */
    public ClaimCounters counters() {
        return new ClaimCounters(requested, granted, replayed, unavailable, backlog.lostResults());
    }

    private List<ClaimAction> handle(long nowMillis, Runnable event) {
        eventMillis = nowMillis;
        event.run();
        while (!completedOps.isEmpty()) {
            resolve(completedOps.remove());
        }
        List<ClaimAction> result = List.copyOf(actions);
        actions.clear();
        return result;
    }

    private void write(PendingClaim pending) {
        NodeId writer = writers.writerOf(pending.request.key(), self);
        pending.isForwarded = !writer.equals(self);
        submit(pending, writer);
    }

    private void submit(PendingClaim pending, NodeId writer) {
        forget(pending);
        pending.opId = nextOpId++;
        pending.enterPhase(PendingClaim.Phase.WRITING, eventMillis);
        pendingByOp.put(pending.opId, pending);
        ClaimOp op = ClaimOp.claim(pending.request, pending.supersedes);
        if (pending.isForwarded) {
            pending.hasBeenForwarded = true;
            actions.add(new ClaimAction.SendForward(writer, new ForwardedClaimOp(pending.opId, op)));
        } else {
            writers.submit(pending.opId, op, writeListener, eventMillis);
        }
    }

    /** Stops tracking a pending claim and returns whether its operation is known to have no effect on the store. */
    private boolean forget(PendingClaim pending) {
        boolean isRemoved = pendingByOp.remove(pending.opId, pending);
        return isRemoved && !pending.isForwarded && writers.cancel(pending.request.key(), pending.opId);
    }

    /** Drops a pending claim and releases what it may have written, which would delay the next call with this key. */
    private void giveUp(PendingClaim pending) {
        if (!forget(pending) || pending.hasBeenForwarded) {
            submitInBackground(ClaimOp.release(pending.request.key(), pending.request.owner()));
        }
    }

    /** Submits an operation that no caller waits for; it is repeated until the store answers. */
    private void submitInBackground(ClaimOp op) {
        long opId = nextOpId++;
        NodeId writer = writers.writerOf(op.key(), self);
        boolean isForwarded = !writer.equals(self);
        ClaimBacklog.Item dropped = backlog.add(opId, op, isForwarded, eventMillis);
        if (dropped != null) {
            writers.cancel(dropped.op().key(), dropped.opId());
        }
        if (isForwarded) {
            actions.add(new ClaimAction.SendForward(writer, new ForwardedClaimOp(opId, op)));
        } else {
            writers.submit(opId, op, writeListener, eventMillis);
        }
    }

    private void advance(PendingClaim pending) {
        if (eventMillis >= pending.deadlineMillis()) {
            expire(pending);
            return;
        }
        long phaseAgeMillis = eventMillis - pending.phaseMillis;
        if (pending.phase == PendingClaim.Phase.WRITING) {
            if (pending.isForwarded && phaseAgeMillis >= FORWARD_TIMEOUT_MILLIS) {
                pending.isForwarded = false;
                submit(pending, self);
            }
        } else if (pending.phase == PendingClaim.Phase.WAITING) {
            if (phaseAgeMillis >= HOLDER_GRACE_MILLIS && pending.isHolderAsked) {
                write(pending);
            } else if (phaseAgeMillis >= HOLDER_GRACE_MILLIS) {
                askHolder(pending);
            }
        } else if (phaseAgeMillis >= REVOKE_TIMEOUT_MILLIS) {
            refuse(pending, ErrorKind.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN);
        }
    }

    private void expire(PendingClaim pending) {
        if (pending.holderClaim == null) {
            unavailable++;
            refuse(pending, ErrorKind.CLAIMS_UNAVAILABLE, RunOutcome.NOT_RUN);
        } else {
            refuse(pending, ErrorKind.IN_PROGRESS, RunOutcome.UNKNOWN);
        }
    }

    private void askHolder(PendingClaim pending) {
        pending.isHolderAsked = true;
        pending.enterPhase(PendingClaim.Phase.ASKING, eventMillis);
        actions.add(new ClaimAction.AskRevoke(pending.holderClaim.owner()));
    }

    private void settleByHolderState(PendingClaim pending, AttemptState state, ClaimResult result) {
        if (state == AttemptState.NEVER_STARTED) {
            pending.supersedes = pending.holderClaim.owner();
            pending.isHolderAsked = false;
            write(pending);
        } else if (state == AttemptState.RUNNING) {
            pending.enterPhase(PendingClaim.Phase.WAITING, eventMillis);
        } else if (state == AttemptState.ENDED && result != null) {
            submitInBackground(ClaimOp.finish(pending.request.key(), pending.holderClaim.owner(), result));
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
                actions.add(new ClaimAction.Proceed(pending.request.owner()));
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
        boolean isSameHolder =
                pending.holderClaim != null && pending.holderClaim.owner().equals(found.owner());
        pending.holderClaim = found;
        if (isSameHolder && pending.isHolderAsked) {
            askHolder(pending);
            return;
        }
        pending.isHolderAsked = false;
        pending.enterPhase(PendingClaim.Phase.WAITING, eventMillis);
    }

    private void replay(PendingClaim pending, ClaimResult result) {
        forget(pending);
        if (result.bodyBase64() == null) {
            actions.add(new ClaimAction.Refuse(pending.request.owner(), ErrorKind.STREAM_EXPIRED, RunOutcome.RAN));
            return;
        }
        replayed++;
        actions.add(new ClaimAction.Replay(pending.request.owner(), result));
    }

    private void refuse(PendingClaim pending, ErrorKind kind, RunOutcome outcome) {
        actions.add(new ClaimAction.Refuse(pending.request.owner(), kind, outcome));
        if (kind == ErrorKind.KEY_REUSED) {
            forget(pending);
        } else {
            giveUp(pending);
        }
    }

    private void resolve(CompletedOp completed) {
        RemoteOp remote = remoteOps.remove(completed.opId());
        if (remote != null) {
            actions.add(
                    new ClaimAction.SendAnswer(remote.entry(), new ClaimOpReply(remote.opId(), completed.outcome())));
            return;
        }
        backlog.remove(completed.opId());
        PendingClaim pending = pendingByOp.get(completed.opId());
        if (pending != null) {
            settle(pending, completed.outcome());
        }
    }

    private record RemoteOp(NodeId entry, long opId, ClaimKey key, long untilMillis) {}

    private record CompletedOp(long opId, ClaimOutcome outcome) {}

    /** Collects the outcomes, because a partition writer must not be called again while it reports one. */
    private final class WriteListener implements ClaimWriteListener {
        @Override
        public void storeCallNeeded(StoreCall call) {
            actions.add(new ClaimAction.CallStore(call));
        }

        @Override
        public void opCompleted(long opId, ClaimOutcome outcome) {
            completedOps.add(new CompletedOp(opId, outcome));
        }
    }
}
