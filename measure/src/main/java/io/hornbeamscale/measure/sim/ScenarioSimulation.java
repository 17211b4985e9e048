package io.hornbeamscale.measure.sim;

import io.hornbeamscale.measure.engine.EngineJob;
import io.hornbeamscale.measure.engine.EngineListener;
import io.hornbeamscale.measure.engine.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Simulates one scenario with one policy and one seed. */
public final class ScenarioSimulation {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int MAX_DRAIN_SECONDS = 400;
    /** The time until an entry detects a lost connection. */
    private static final long LOSS_DETECTION_MICROS = MICROS_PER_SECOND;

    private final Scenario scenario;
    private final EventLoop loop = new EventLoop();
    private final SimulatedCluster cluster;
    private final FigureRecorder recorder;
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final List<RequestRun> runs = new ArrayList<>();
    private final SimulatedControlPlane control;

    /**
     * Creates a simulation.
     *
     * @param scenario the scenario, not null
     * @param policy the policy, not null
     * @param seed the seed of the requests and random choices
     * @param disabledMechanisms the names of mechanisms to switch off, not null
     */
    public ScenarioSimulation(Scenario scenario, Policy policy, long seed, Set<String> disabledMechanisms) {
        this.scenario = scenario;
        this.cluster = new SimulatedCluster(scenario, loop, seed);
        this.recorder = new FigureRecorder(scenario);
        List<RequestSpec> trace = TraceGenerator.requests(scenario, seed);
        this.control = policy.isControlled()
                ? new SimulatedControlPlane(
                        scenario, cluster, recorder, policy, disabledMechanisms, new OracleLengthModel(trace))
                : null;
        for (int i = 0; i < cluster.size(); i++) {
            cluster.add(control == null ? new DirectListener() : control.agent(i, seed), seed * 31 + i);
        }
        for (int i = 0; i < scenario.entries().size(); i++) {
            NodeLocation location = scenario.entries().get(i);
            entries.add(
                    control == null
                            ? new DirectEntry(policy, location, cluster, seed * 17 + i)
                            : control.entry(i, seed * 17 + i));
        }
        for (RequestSpec s : trace) {
            RequestRun run = new RequestRun(s);
            runs.add(run);
            recorder.add(run);
            loop.after(s.arrivalMicros(), () -> arrive(run));
        }
        if (!scenario.failedZone().isEmpty()) {
            loop.after((scenario.arrivalSeconds() / 2) * MICROS_PER_SECOND, this::failZone);
        }
    }

    private void arrive(RequestRun run) {
        long patienceMillis = run.spec.work().deadlineMillis() - run.spec.work().arrivedMillis();
        if (control == null) {
            loop.after(patienceMillis * 1_000, () -> {
                if (run.state == RequestRun.State.WAITING) {
                    run.state = RequestRun.State.GAVE_UP;
                    entries.get(run.entry).cancel(run);
                }
            });
        }
        if (isEntryLost(run.entry)) {
            run.entry = 0;
        }
        entries.get(run.entry).submit(run);
    }

    private boolean isEntryLost(int entry) {
        return !scenario.failedZone().isEmpty()
                && loop.nowMicros() >= (scenario.arrivalSeconds() / 2) * MICROS_PER_SECOND
                && scenario.entries().get(entry).zone().equals(scenario.failedZone());
    }

    /** Stops the backend servers of the failed zone. Later requests to entries of the zone go to the first entry. */
    private void failZone() {
        for (int i = 0; i < cluster.size(); i++) {
            if (cluster.location(i).zone().equals(scenario.failedZone())) {
                cluster.engine(i).stop();
                int lost = i;
                loop.after(LOSS_DETECTION_MICROS, () -> entries.forEach(e -> e.backendLost(lost)));
            }
        }
    }

    /**
     * Runs until every request is over, but at most 400 s beyond the arrival time.
     *
     * @return the figures by name, never null
     */
    public Map<String, Double> run() {
        loop.run(scenario.arrivalSeconds() * MICROS_PER_SECOND);
        for (int i = 0; i < MAX_DRAIN_SECONDS && runs.stream().anyMatch(r -> !r.isOver()); i++) {
            loop.run(loop.nowMicros() + MICROS_PER_SECOND);
        }
        Map<String, Double> figures = new LinkedHashMap<>(recorder.figures(scenario.arrivalSeconds()));
        long computed = 0;
        for (int i = 0; i < cluster.size(); i++) {
            computed += cluster.engine(i).computedPromptTokens();
        }
        double prompts =
                runs.stream().mapToDouble(r -> r.spec.work().promptTokens()).sum();
        figures.put("prefill_ratio", computed / Math.max(1, prompts));
        if (control != null) {
            figures.putAll(control.figures());
        }
        return figures;
    }

    /** Passes the events of engines without agents to the recorder and the entry. */
    private final class DirectListener implements EngineListener {
        @Override
        public void admitted(EngineJob job, boolean isFirst) {
            recorder.admitted(((DirectEntry.DirectJob) job.owner()).run(), loop.nowMicros());
        }

        @Override
        public void emitted(EngineJob job) {
            DirectEntry.DirectJob d = (DirectEntry.DirectJob) job.owner();
            recorder.token(d.run(), d, loop.nowMicros());
        }

        @Override
        public void finished(EngineJob job) {
            DirectEntry.DirectJob d = (DirectEntry.DirectJob) job.owner();
            if (!d.run().isOver()) {
                d.run().state = RequestRun.State.DONE;
            }
            loop.after(1_000, () -> d.entry().ended(d.run()));
        }

        @Override
        public void preempted(EngineJob job) {
            recorder.preempted(((DirectEntry.DirectJob) job.owner()).run());
        }

        @Override
        public void reported(io.hornbeamscale.core.work.EngineLoad load) {
            // A conventional load balancer reads no load reports.
        }

        @Override
        public void cacheChanged(long hash, boolean isCached) {
            // A conventional load balancer reads no cache events.
        }
    }
}
