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
 * Brings the engines of one service to their desired states. Only the holder of the service's lease issues commands,
 * each with the lease's fencing number. Commands are always derived from the difference between desired and actual
 * state, so the next holder continues where the previous one stopped: it first reads every engine, and an engine that
 * it cannot read counts as changing. Not safe for use by several threads.
 */
public final class Reconciler {
    private static final int PERCENT = 100;
    private static final long IDLE_READ_INTERVAL_MILLIS = 15_000;
    private static final long BUSY_READ_INTERVAL_MILLIS = 1_000;
    private static final long MIN_BACKOFF_MILLIS = 1_000;
    private static final long MAX_BACKOFF_MILLIS = 30_000;
    private static final int MAX_DOUBLINGS = 10;
    private static final long REPLY_TIMEOUT_MILLIS = 30_000;

    private final LeaseRenewer lease;
    private final WeightLoadLimiter weightLimiter;
    private final RandomGenerator random;
    private final Map<BackendId, TrackedEngine> engines =
            new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
    private int rolloutPercent = PERCENT;
    private long heldFence = -1;

    /**
     * Creates a reconciler without engines.
     *
     * @param service the service, not null
     * @param owner the owner of the lease, unique for each incarnation of a process, not blank
     * @param weightLimiter limits the loads of this node from the weight store, shared by all its reconcilers, not null
     * @param random the source of jitter, not null
     */
    public Reconciler(ServiceId service, String owner, WeightLoadLimiter weightLimiter, RandomGenerator random) {
        Arguments.notNull(service, "service");
        this.lease = new LeaseRenewer("reconcile/" + service, Arguments.notBlank(owner, "owner"), random);
        this.weightLimiter = Arguments.notNull(weightLimiter, "weightLimiter");
        this.random = Arguments.notNull(random, "random");
    }

    /**
     * Sets whether this node tries to acquire the lease. Rendezvous hashing over live nodes chooses the candidate only
     * to avoid conflicts; only the lease holder may issue commands.
     *
     * @param isCandidate whether to try to acquire the lease
     * @return the actions to carry out
     */
    public List<ReconcileAction> setCandidate(boolean isCandidate) {
        List<ReconcileAction> actions = new ArrayList<>();
        lease.setCandidate(isCandidate, actions);
        return actions;
    }

    /**
     * Replaces the desired states. Engines that no longer exist must not be included.
     *
     * @param desiredStates the desired states of all engines of the service, not null
     * @param percent the share of the capacity that may change at the same time, from 1 to 100
     */
    public void setDesiredStates(Collection<DesiredEngineState> desiredStates, int percent) {
        rolloutPercent = (int) Arguments.inRange(percent, 1, PERCENT, "percent");
        Map<BackendId, DesiredEngineState> byId = new HashMap<>();
        for (DesiredEngineState desired : Arguments.notNull(desiredStates, "desiredStates")) {
            byId.put(desired.backend(), desired);
        }
        engines.keySet().retainAll(byId.keySet());
        byId.forEach((id, desired) -> engines.computeIfAbsent(id, k -> new TrackedEngine()).desired = desired);
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
     * Returns the engines that are not known to have their desired state.
     *
     * @return the engines, ordered by name, never null
     */
    public List<BackendId> unreconciledEngines() {
        List<BackendId> ids = new ArrayList<>();
        engines.forEach((id, engine) -> {
            boolean isDone = engine.actual != null
                    && !engine.actual.isLoading()
                    && EngineCommandPlan.next(engine.desired, engine.actual, 0).isEmpty();
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
        // The release of a lease is answered with a missing key, which is no answer to a pending call.
        if (!(Arguments.notNull(reply, "reply") instanceof StoreReply.Missing)) {
            lease.storeReplied(reply, nowMillis);
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
        TrackedEngine engine = engines.get(backend);
        if (engine != null) {
            engine.readSentMillis = -1;
            engine.isReadable = true;
            // While a command is unanswered, the state that was read may be older than the command.
            if (engine.commandSentMillis < 0) {
                recordState(engine, Arguments.notNull(actual, "actual"), nowMillis);
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
        TrackedEngine engine = engines.get(backend);
        if (engine != null) {
            engine.readSentMillis = -1;
            engine.isReadable = false;
            engine.lastReadMillis = nowMillis;
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
        TrackedEngine engine = engines.get(backend);
        if (engine == null) {
            return tick(nowMillis);
        }
        engine.commandSentMillis = -1;
        if (reply instanceof EngineCommandReply.Accepted accepted) {
            engine.failures = 0;
            engine.hasUnconfirmedChange = true;
            recordState(engine, accepted.actual(), nowMillis);
        } else if (reply instanceof EngineCommandReply.StaleFence) {
            lease.markLost();
        } else if (reply instanceof EngineCommandReply.Refused) {
            engine.isChanging = engine.hasUnconfirmedChange;
            backOff(engine, nowMillis);
        } else {
            // The command may have taken effect, so the engine counts as changing until it has been read.
            engine.hasUnconfirmedChange = true;
            engine.isReadable = false;
            engine.lastReadMillis = nowMillis;
            backOff(engine, nowMillis);
        }
        return tick(nowMillis);
    }

    /**
     * Renews the lease and issues the reads and commands that are due. Called every few tens to hundreds of
     * milliseconds.
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
            engines.values().forEach(TrackedEngine::forget);
        }
        engines.forEach((id, engine) -> readIfDue(id, engine, nowMillis, actions));
        engines.forEach((id, engine) -> commandIfDue(id, engine, nowMillis, actions));
        return actions;
    }

    private void recordState(TrackedEngine engine, ActualEngineState actual, long nowMillis) {
        engine.actual = actual;
        engine.lastReadMillis = nowMillis;
        boolean isDone = !actual.isLoading()
                && EngineCommandPlan.next(engine.desired, actual, 0).isEmpty();
        if (isDone) {
            engine.isChanging = false;
            engine.hasUnconfirmedChange = false;
        }
    }

    private void readIfDue(BackendId id, TrackedEngine engine, long nowMillis, List<ReconcileAction> actions) {
        boolean isBusy = engine.isChanging || !engine.isReadable || engine.actual == null || engine.actual.isLoading();
        long period = isBusy ? BUSY_READ_INTERVAL_MILLIS : IDLE_READ_INTERVAL_MILLIS;
        boolean isPending = isAwaitingReply(engine.readSentMillis, nowMillis)
                || isAwaitingReply(engine.commandSentMillis, nowMillis);
        boolean isDue = engine.lastReadMillis < 0 || nowMillis - engine.lastReadMillis >= period;
        if (!isPending && isDue) {
            engine.readSentMillis = nowMillis;
            actions.add(new ReconcileAction.ReadEngineState(id));
        }
    }

    /**
     * Returns whether a call is pending. A lost reply stops counting after a timeout, so that it cannot block a
     * rollout.
     */
    private static boolean isAwaitingReply(long sentMillis, long nowMillis) {
        return sentMillis >= 0 && nowMillis - sentMillis < REPLY_TIMEOUT_MILLIS;
    }

    private void commandIfDue(BackendId id, TrackedEngine engine, long nowMillis, List<ReconcileAction> actions) {
        boolean isReady = engine.actual != null && engine.isReadable && !engine.actual.isLoading();
        if (!isReady || isAwaitingReply(engine.commandSentMillis, nowMillis) || nowMillis < engine.nextCommandMillis) {
            return;
        }
        Optional<EngineCommand> command = EngineCommandPlan.next(engine.desired, engine.actual, lease.fence());
        if (command.isEmpty() || !isChangeAllowed(engine)) {
            return;
        }
        if (EngineCommandPlan.isLoad(command.get()) && !weightLimiter.tryAcquire(nowMillis)) {
            return;
        }
        engine.isChanging = true;
        engine.commandSentMillis = nowMillis;
        actions.add(new ReconcileAction.SendCommand(id, command.get()));
    }

    /** Applies the rollout limit. An engine without any model serves nothing, so loading it takes no capacity away. */
    private boolean isChangeAllowed(TrackedEngine engine) {
        if (engine.isChanging || engine.actual.models().isEmpty()) {
            return true;
        }
        long total = 0;
        long changing = 0;
        for (TrackedEngine other : engines.values()) {
            total += other.desired.capacity();
            changing += other.isCountedAsChanging() ? other.desired.capacity() : 0;
        }
        // One engine may always change; otherwise the rollout of a small service would never finish.
        return changing == 0 || (changing + engine.desired.capacity()) * PERCENT <= total * rolloutPercent;
    }

    private void backOff(TrackedEngine engine, long nowMillis) {
        int doublings = Math.min(MAX_DOUBLINGS, engine.failures);
        long bound = Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << doublings);
        engine.failures++;
        engine.nextCommandMillis = nowMillis + bound / 2 + random.nextLong(bound / 2 + 1);
    }

    /** The state of one engine; the times of reads and commands are -1 if there is none. */
    private static final class TrackedEngine {
        private DesiredEngineState desired;
        private ActualEngineState actual;
        private long lastReadMillis = -1;
        private long readSentMillis = -1;
        private long commandSentMillis = -1;
        private long nextCommandMillis;
        private int failures;
        private boolean isReadable;
        private boolean isChanging;
        private boolean hasUnconfirmedChange;

        private void forget() {
            actual = null;
            lastReadMillis = -1;
            readSentMillis = -1;
            commandSentMillis = -1;
            isReadable = false;
            isChanging = false;
            hasUnconfirmedChange = false;
        }

        private boolean isCountedAsChanging() {
            return isChanging || !isReadable || actual == null || actual.isLoading();
        }
    }
}
