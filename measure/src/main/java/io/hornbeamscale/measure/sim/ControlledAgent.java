package io.hornbeamscale.measure.sim;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.schedule.EngineScheduler;
import io.hornbeamscale.core.schedule.MemoryScheduler;
import io.hornbeamscale.core.schedule.ScheduleAction;
import io.hornbeamscale.core.schedule.SchedulerConfig;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.EngineLoad;
import io.hornbeamscale.core.work.Reservation;
import io.hornbeamscale.core.work.WorkItem;
import io.hornbeamscale.measure.engine.EngineJob;
import io.hornbeamscale.measure.engine.EngineListener;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An agent that admits requests to its engine with the scheduler of the core. */
final class ControlledAgent implements EngineListener {
    private static final long TICK_INTERVAL_MICROS = 10_000;
    private static final long STATUS_INTERVAL_MICROS = 100_000;
    /** The number of tokens per message to the entry, after the first token, which is sent at once. */
    private static final int TOKENS_PER_MESSAGE = 16;

    private final int index;
    private final BackendId backend;
    private final SimulatedControlPlane control;
    private final EngineScheduler scheduler;
    private final Map<AttemptId, EngineJob> jobs = new HashMap<>();
    private boolean isStopped;

    ControlledAgent(int index, SimulatedControlPlane control, long seed) {
        this.index = index;
        this.control = control;
        this.backend = SimulatedControlPlane.backendId(index);
        SchedulerConfig config = SchedulerConfig.builder(backend, seed)
                .capacityTokens(control.scenario().engine().capacityTokens())
                .maxRunning(control.scenario().engine().maxRunning())
                .predictive(control.isEnabled("prediction"))
                .fair(control.isEnabled("fairness"))
                .shortSharePercent(control.isEnabled("short-share") ? 15 : 0)
                .build();
        this.scheduler = control.policy() == Policy.ORACLE
                ? new MemoryScheduler(config, control.trueLengths())
                : new MemoryScheduler(config);
        scheduler.weights(control.customerWeights());
        control.cluster().loop().after(0, this::sendStatus);
        control.cluster().loop().every(STATUS_INTERVAL_MICROS, this::sendStatus);
        control.cluster().loop().every(TICK_INTERVAL_MICROS, () -> perform(scheduler.tick(now())));
    }

    private long now() {
        return control.cluster().loop().nowMillis();
    }

    private void sendStatus() {
        if (isStopped) {
            return;
        }
        BackendStatus status = scheduler.status(now());
        for (ControlledEntry e : control.entries()) {
            control.cluster().runAfterDelay(e.location, index, () -> e.status(status));
        }
    }

    boolean isStopped() {
        return isStopped;
    }

    void stop() {
        isStopped = true;
    }

    void reserve(ControlledEntry entry, AttemptId attempt, WorkItem work) {
        perform(scheduler.reserve(new Reservation(attempt, new NodeId("e" + entry.index), work), now()));
    }

    void cancel(AttemptId attempt) {
        EngineJob job = jobs.remove(attempt);
        if (job != null) {
            control.cluster().engine(index).cancel(job);
            perform(scheduler.ended(attempt, false, now()));
        } else {
            perform(scheduler.cancel(attempt, now()));
        }
    }

    void start(ControlledEntry entry, AttemptId attempt, GrantId grant, RequestRun run) {
        if (!scheduler.start(attempt, grant, now())) {
            sendToEntry(entry, e -> e.refused(backend, attempt, ErrorKind.GRANT_EXPIRED, 0));
            return;
        }
        EngineJob job = control.cluster()
                .createJob(
                        run, new AgentJob(run, entry, attempt), run.spec.work().priority());
        jobs.put(attempt, job);
        control.cluster().engine(index).submit(job);
    }

    private void sendToEntry(ControlledEntry entry, java.util.function.Consumer<ControlledEntry> message) {
        control.cluster().runAfterDelay(entry.location, index, () -> message.accept(entry));
    }

    private void perform(List<ScheduleAction> actions) {
        if (isStopped) {
            return;
        }
        for (ScheduleAction a : actions) {
            if (a instanceof ScheduleAction.SendGrant g) {
                sendToEntry(entry(g.entry()), e -> e.granted(backend, g.attempt(), g.grant(), g.validMillis()));
            } else if (a instanceof ScheduleAction.SendRefuse r) {
                sendToEntry(entry(r.entry()), e -> e.refused(backend, r.attempt(), r.kind(), r.retryAfterMillis()));
            }
        }
    }

    private ControlledEntry entry(NodeId node) {
        return control.entry(Integer.parseInt(node.value().substring(1)));
    }

    @Override
    public void admitted(EngineJob job, boolean isFirst) {
        control.recorder()
                .admitted(((AgentJob) job.owner()).run, control.cluster().loop().nowMicros());
    }

    @Override
    public void emitted(EngineJob job) {
        AgentJob a = (AgentJob) job.owner();
        control.recorder().token(a.run, a, control.cluster().loop().nowMicros() + a.delayMicros);
        perform(scheduler.tokens(a.attempt, 1, now()));
        a.unsentTokens++;
        if (job.emitted() == 1 || a.unsentTokens >= TOKENS_PER_MESSAGE) {
            int count = a.unsentTokens;
            a.unsentTokens = 0;
            sendToEntry(a.entry, e -> e.tokens(a.attempt, count));
        }
    }

    @Override
    public void finished(EngineJob job) {
        AgentJob a = (AgentJob) job.owner();
        jobs.remove(a.attempt);
        if (!a.run.isOver() && a.run.deliveringAttempt == a) {
            a.run.state = RequestRun.State.DONE;
        }
        perform(scheduler.ended(a.attempt, true, now()));
        sendToEntry(a.entry, e -> e.ended(a.attempt));
    }

    @Override
    public void preempted(EngineJob job) {
        AgentJob a = (AgentJob) job.owner();
        control.recorder().preempted(a.run);
        perform(scheduler.preempted(a.attempt, now()));
    }

    @Override
    public void reported(EngineLoad load) {
        perform(scheduler.load(load, now()));
    }

    @Override
    public void cacheChanged(long hash, boolean isCached) {
        scheduler.prefix(hash, isCached, now());
    }

    /** The owner of a job that this agent started. */
    private final class AgentJob {
        final RequestRun run;
        final ControlledEntry entry;
        final AttemptId attempt;
        final long delayMicros;
        int unsentTokens;

        AgentJob(RequestRun run, ControlledEntry entry, AttemptId attempt) {
            this.run = run;
            this.entry = entry;
            this.attempt = attempt;
            this.delayMicros = control.cluster().delayMicros(entry.location, index);
        }
    }
}
