package io.hornbeamscale.measure.sim;

import io.hornbeamscale.core.dispatch.DispatchAction;
import io.hornbeamscale.core.dispatch.DispatcherConfig;
import io.hornbeamscale.core.dispatch.ReservationDispatcher;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ZoneId;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.WorkItem;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** An entry that routes requests with the dispatcher of the core. */
final class ControlledEntry implements SimulatedEntry {
    private static final long TICK_INTERVAL_MICROS = 10_000;
    private static final int MAX_TRIES = 4;

    final NodeLocation location;
    final int index;
    int maxQueued;
    private final SimulatedControlPlane control;
    private final ReservationDispatcher dispatcher;
    private final Map<RequestId, RequestRun> runs = new HashMap<>();
    private final Map<AttemptId, BackendId> startedAttempts = new LinkedHashMap<>();

    ControlledEntry(int index, NodeLocation location, SimulatedControlPlane control, long seed) {
        this.index = index;
        this.location = location;
        this.control = control;
        DispatcherConfig config = DispatcherConfig.builder(new ZoneId(location.zone()), new RegionId(location.region()))
                .build();
        this.dispatcher = new ReservationDispatcher(config, new Random(seed));
        perform(dispatcher.watch(control.descriptors(), 0));
        control.cluster().loop().every(TICK_INTERVAL_MICROS, () -> {
            maxQueued = Math.max(maxQueued, dispatcher.queued());
            perform(dispatcher.tick(now()));
        });
    }

    private long now() {
        return control.cluster().loop().nowMillis();
    }

    @Override
    public void submit(RequestRun run) {
        runs.put(run.spec.work().request(), run);
        perform(dispatcher.submit(run.spec.work(), now()));
    }

    @Override
    public void cancel(RequestRun run) {
        perform(dispatcher.cancelled(run.spec.work().request(), now()));
    }

    @Override
    public void backendLost(int backendIndex) {
        BackendId backend = SimulatedControlPlane.backendId(backendIndex);
        control.agent(backendIndex).stop();
        perform(dispatcher.lost(backend, now()));
        for (Map.Entry<AttemptId, BackendId> e : Map.copyOf(startedAttempts).entrySet()) {
            if (e.getValue().equals(backend)) {
                failed(e.getKey());
            }
        }
    }

    private void failed(AttemptId attempt) {
        startedAttempts.remove(attempt);
        RequestRun run = runs.get(attempt.request());
        boolean isDelivered = run != null && run.state == RequestRun.State.STREAMING;
        perform(dispatcher.failed(attempt, ErrorKind.BACKEND_FAILED, RunOutcome.UNKNOWN, isDelivered, now()));
    }

    private void perform(List<DispatchAction> actions) {
        for (DispatchAction a : actions) {
            if (a instanceof DispatchAction.SendReserve r) {
                send(r.backend(), agent -> agent.reserve(this, r.attempt(), r.work()));
            } else if (a instanceof DispatchAction.SendCancel c) {
                startedAttempts.remove(c.attempt());
                send(c.backend(), agent -> agent.cancel(c.attempt()));
            } else if (a instanceof DispatchAction.SendStart s) {
                start(s.backend(), s.attempt(), s.grant(), s.work());
            } else if (a instanceof DispatchAction.RejectCaller r) {
                reject(r);
            }
        }
    }

    private void start(BackendId backend, AttemptId attempt, GrantId grant, WorkItem work) {
        startedAttempts.put(attempt, backend);
        RequestRun run = runs.get(work.request());
        int backendIndex = SimulatedControlPlane.backendIndex(backend);
        run.isRemote = !location.region()
                .equals(control.cluster().location(backendIndex).region());
        if (run.state == RequestRun.State.WAITING && attempt.number() > 1) {
            control.recorder().secondAttempt();
        }
        send(backend, agent -> agent.start(this, attempt, grant, run));
    }

    private void reject(DispatchAction.RejectCaller r) {
        RequestRun run = runs.remove(r.request());
        boolean isRetryable = r.kind() == ErrorKind.OVERLOADED || r.kind() == ErrorKind.NO_BACKEND;
        if (isRetryable && run.tries < MAX_TRIES && r.retryAfterMillis() > 0) {
            run.tries++;
            control.cluster().loop().after(r.retryAfterMillis() * 1_000, () -> submit(run));
            return;
        }
        if (run.isOver()) {
            return;
        }
        run.state = switch (r.kind()) {
            case DEADLINE_EXCEEDED -> RequestRun.State.GAVE_UP;
            case OVERLOADED, NO_BACKEND, RATE_LIMITED -> RequestRun.State.REFUSED;
            default -> RequestRun.State.FAILED;
        };
    }

    private void send(BackendId backend, java.util.function.Consumer<ControlledAgent> message) {
        int backendIndex = SimulatedControlPlane.backendIndex(backend);
        control.cluster().runAfterDelay(location, backendIndex, () -> {
            if (!control.agent(backendIndex).isStopped()) {
                message.accept(control.agent(backendIndex));
            }
        });
    }

    void granted(BackendId backend, AttemptId attempt, GrantId grant, long validMillis) {
        perform(dispatcher.granted(backend, attempt, grant, validMillis, now()));
    }

    void refused(BackendId backend, AttemptId attempt, ErrorKind kind, long retryAfterMillis) {
        startedAttempts.remove(attempt, backend);
        perform(dispatcher.refused(backend, attempt, kind, retryAfterMillis, now()));
    }

    void tokens(AttemptId attempt, int count) {
        perform(dispatcher.tokens(attempt, count, now()));
    }

    void ended(AttemptId attempt) {
        startedAttempts.remove(attempt);
        if (dispatcher.isLive(attempt)) {
            runs.remove(attempt.request());
        }
        perform(dispatcher.ended(attempt, now()));
    }

    void status(BackendStatus status) {
        perform(dispatcher.status(status, now()));
    }
}
