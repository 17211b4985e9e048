package io.hornbeamscale.core.reconcile;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Brings the engines of one service to their goals. Only the holder of the service's lease issues commands, each with
 * the lease's fencing number. The plan is always the difference between desired and actual state, so the next holder
 * continues where the last one stopped: it first reads every engine, and an engine that it cannot read counts as
 * changing. Not safe for use by several threads.
 */
public final class Reconciler {
    private static final int PERCENT = 100;
    private static final long IDLE_READ_MILLIS = 15_000;
    private static final long BUSY_READ_MILLIS = 1_000;
    private static final long FIRST_PAUSE_MILLIS = 1_000;
    private static final long MAX_PAUSE_MILLIS = 30_000;
    private static final int MAX_DOUBLINGS = 10;
    private static final long LOST_REPLY_MILLIS = 30_000;

    private final LeaseKeeper lease;
    private final WeightLoadLimiter weights;
    private final RandomGenerator random;
    private final Map<BackendId, Engine> engines =
            new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
    private int rolloutPercent = PERCENT;
    private long heldFence = -1;

    /**
     * Creates a reconciler without goals.
     *
     * @param service the service, not null
     * @param owner the owner of the lease, unique for each incarnation of a process, not blank
     * @param weights the node's share of the weight store, shared by all reconcilers of the node, not null
     * @param random the source of jitter, not null
     */
    public Reconciler(ServiceId service, String owner, WeightLoadLimiter weights, RandomGenerator random) {
        Arguments.notNull(service, "service");
        this.lease = new LeaseKeeper("reconcile/" + service, Arguments.notBlank(owner, "owner"), random);
        this.weights = Arguments.notNull(weights, "weights");
        this.random = Arguments.notNull(random, "random");
    }

    /**
     * Sets whether this node tries to hold the lease. Rendezvous hashing over live nodes chooses the candidate only to
     * avoid conflicts; the lease decides.
     *
     * @param isCandidate whether to try
     * @return the actions to carry out
     */
    public List<ReconcileAction> setCandidate(boolean isCandidate) {
        List<ReconcileAction> actions = new ArrayList<>();
        lease.candidate(isCandidate, actions);
        return actions;
    }

    /**
     * Replaces the goals. Engines that no longer exist must not be among them.
     *
     * @param goals the goals of all engines of the service, not null
     * @param percent the share of the capacity that may change at a time, from 1 to 100
     */
    public void setDesiredStates(Collection<DesiredEngineState> goals, int percent) {
        rolloutPercent = (int) Arguments.inRange(percent, 1, PERCENT, "percent");
        Map<BackendId, DesiredEngineState> byId = new HashMap<>();
        for (DesiredEngineState goal : Arguments.notNull(goals, "goals")) {
            byId.put(goal.backend(), goal);
        }
        engines.keySet().retainAll(byId.keySet());
        byId.forEach((id, goal) -> engines.computeIfAbsent(id, k -> new Engine()).goal = goal);
    }

    /**
     * Returns whether this node holds the lease.
     *
     * @param nowMillis the present time
     * @return whether it may issue commands
     */
    public boolean isHolder(long nowMillis) {
        return lease.isHeld(nowMillis);
    }

    /**
     * Returns the engines that do not yet hold what they should, as far as this node knows.
     *
     * @return the engines, in order of their names
     */
    public List<BackendId> unreconciledEngines() {
        List<BackendId> ids = new ArrayList<>();
        engines.forEach((id, engine) -> {
            boolean isDone = engine.actual != null
                    && !engine.actual.isLoading()
                    && EngineCommandPlan.next(engine.goal, engine.actual, 0).isEmpty();
            if (!isDone) {
                ids.add(id);
            }
        });
        return ids;
    }

    /**
     * Handles a reply of the store.
     *
     * @param reply the reply, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ReconcileAction> storeReplied(StoreReply reply, long nowMillis) {
        // A released lease is answered with a missing key, which concerns no pending call.
        if (!(Arguments.notNull(reply, "reply") instanceof StoreReply.Missing)) {
            lease.reply(reply, nowMillis);
        }
        return tick(nowMillis);
    }

    /**
     * Handles the state of an engine.
     *
     * @param backend the engine, not null
     * @param actual the state, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ReconcileAction> engineStateRead(BackendId backend, ActualEngineState actual, long nowMillis) {
        Engine engine = engines.get(backend);
        if (engine != null) {
            engine.readSince = -1;
            engine.isReadable = true;
            // A state that was read before a command was answered may be older than the command.
            if (engine.commandSince < 0) {
                observe(engine, Arguments.notNull(actual, "actual"), nowMillis);
            }
        }
        return tick(nowMillis);
    }

    /**
     * Handles an engine that did not answer a read.
     *
     * @param backend the engine, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ReconcileAction> engineUnreachable(BackendId backend, long nowMillis) {
        Engine engine = engines.get(backend);
        if (engine != null) {
            engine.readSince = -1;
            engine.isReadable = false;
            engine.readMillis = nowMillis;
        }
        return tick(nowMillis);
    }

    /**
     * Handles the reply to a command.
     *
     * @param backend the engine, not null
     * @param reply the reply, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ReconcileAction> commandReplied(BackendId backend, EngineCommandReply reply, long nowMillis) {
        Engine engine = engines.get(backend);
        if (engine == null) {
            return tick(nowMillis);
        }
        engine.commandSince = -1;
        if (reply instanceof EngineCommandReply.Accepted accepted) {
            engine.failures = 0;
            engine.hasChanged = true;
            observe(engine, accepted.actual(), nowMillis);
        } else if (reply instanceof EngineCommandReply.StaleFence) {
            lease.lost();
        } else if (reply instanceof EngineCommandReply.Refused) {
            engine.isChanging = engine.hasChanged;
            pause(engine, nowMillis);
        } else {
            // The command may have taken effect, so the engine stays counted until it has been read.
            engine.hasChanged = true;
            engine.isReadable = false;
            engine.readMillis = nowMillis;
            pause(engine, nowMillis);
        }
        return tick(nowMillis);
    }

    /**
     * Checks what is due. Called every few tens to hundreds of milliseconds.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<ReconcileAction> tick(long nowMillis) {
        List<ReconcileAction> actions = new ArrayList<>();
        lease.tick(nowMillis, actions);
        if (!lease.isHeld(nowMillis)) {
            heldFence = -1;
            return actions;
        }
        if (heldFence != lease.fence()) {
            heldFence = lease.fence();
            engines.values().forEach(Engine::forget);
        }
        engines.forEach((id, engine) -> readIfDue(id, engine, nowMillis, actions));
        engines.forEach((id, engine) -> commandIfDue(id, engine, nowMillis, actions));
        return actions;
    }

    private void observe(Engine engine, ActualEngineState actual, long nowMillis) {
        engine.actual = actual;
        engine.readMillis = nowMillis;
        boolean isDone = !actual.isLoading()
                && EngineCommandPlan.next(engine.goal, actual, 0).isEmpty();
        if (isDone) {
            engine.isChanging = false;
            engine.hasChanged = false;
        }
    }

    private void readIfDue(BackendId id, Engine engine, long nowMillis, List<ReconcileAction> actions) {
        boolean isBusy = engine.isChanging || !engine.isReadable || engine.actual == null || engine.actual.isLoading();
        long period = isBusy ? BUSY_READ_MILLIS : IDLE_READ_MILLIS;
        boolean isPending = isOpen(engine.readSince, nowMillis) || isOpen(engine.commandSince, nowMillis);
        boolean isDue = engine.readMillis < 0 || nowMillis - engine.readMillis >= period;
        if (!isPending && isDue) {
            engine.readSince = nowMillis;
            actions.add(new ReconcileAction.ReadEngineState(id));
        }
    }

    /** A call whose reply never comes is given up after a while, so that it cannot stop the rollout for good. */
    private static boolean isOpen(long sinceMillis, long nowMillis) {
        return sinceMillis >= 0 && nowMillis - sinceMillis < LOST_REPLY_MILLIS;
    }

    private void commandIfDue(BackendId id, Engine engine, long nowMillis, List<ReconcileAction> actions) {
        boolean isReady = engine.actual != null && engine.isReadable && !engine.actual.isLoading();
        if (!isReady || isOpen(engine.commandSince, nowMillis) || nowMillis < engine.nextMillis) {
            return;
        }
        Optional<EngineCommand> command = EngineCommandPlan.next(engine.goal, engine.actual, lease.fence());
        if (command.isEmpty() || !mayChange(engine)) {
            return;
        }
        if (EngineCommandPlan.isLoad(command.get()) && !weights.tryAcquire(nowMillis)) {
            return;
        }
        engine.isChanging = true;
        engine.commandSince = nowMillis;
        actions.add(new ReconcileAction.SendCommand(id, command.get()));
    }

    /** An engine without any model serves nothing, so filling it takes no capacity away. */
    private boolean mayChange(Engine engine) {
        if (engine.isChanging || engine.actual.models().isEmpty()) {
            return true;
        }
        long total = 0;
        long changing = 0;
        for (Engine other : engines.values()) {
            total += other.goal.capacity();
            changing += other.isCounted() ? other.goal.capacity() : 0;
        }
        // One engine may always change; otherwise a small service would never finish.
        return changing == 0 || (changing + engine.goal.capacity()) * PERCENT <= total * rolloutPercent;
    }

    private void pause(Engine engine, long nowMillis) {
        int doublings = Math.min(MAX_DOUBLINGS, engine.failures);
        long bound = Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << doublings);
        engine.failures++;
        engine.nextMillis = nowMillis + bound / 2 + random.nextLong(bound / 2 + 1);
    }

    private static final class Engine {
        private DesiredEngineState goal;
        private ActualEngineState actual;
        private long readMillis = -1;
        private long readSince = -1;
        private long commandSince = -1;
        private long nextMillis;
        private int failures;
        private boolean isReadable;
        private boolean isChanging;
        private boolean hasChanged;

        private void forget() {
            actual = null;
            readMillis = -1;
            readSince = -1;
            commandSince = -1;
            isReadable = false;
            isChanging = false;
            hasChanged = false;
        }

        private boolean isCounted() {
            return isChanging || !isReadable || actual == null || actual.isLoading();
        }
    }
}
