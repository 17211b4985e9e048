package io.hornbeamscale.measure.sim;

import io.hornbeamscale.measure.engine.EngineJob;
import io.hornbeamscale.measure.engine.EngineListener;
import io.hornbeamscale.measure.engine.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Runs one scenario with one policy and one seed. */
public final class Simulation {
    private static final long MICROS = 1_000_000;
    private static final int DRAIN_SECONDS = 400;
    /** The time until an entry notices a lost connection. */
    private static final long LOSS_MICROS = MICROS;

    private final Scenario scenario;
    private final EventLoop loop = new EventLoop();
    private final Cluster cluster;
    private final Recorder recorder;
    private final List<EntryNode> entries = new ArrayList<>();
    private final List<RequestRun> runs = new ArrayList<>();
    private final ControlPlane control;

    /**
     * Prepares a run.
     *
     * @param scenario the scenario, not null
     * @param policy the policy, not null
     * @param seed the seed of requests and random choices
     * @param without names of mechanisms to switch off, not null
     */
    public Simulation(Scenario scenario, Policy policy, long seed, Set<String> without) {
        this.scenario = scenario;
        this.cluster = new Cluster(scenario, loop, seed);
        this.recorder = new Recorder(scenario);
        List<RequestSpec> trace = Trace.of(scenario, seed);
        this.control = policy.isControlled()
                ? new ControlPlane(scenario, cluster, recorder, policy, without, new TrueLengths(trace))
                : null;
        for (int i = 0; i < cluster.size(); i++) {
            cluster.add(control == null ? new DirectListener() : control.agent(i, seed), seed * 31 + i);
        }
        for (int i = 0; i < scenario.entries().size(); i++) {
            Site site = scenario.entries().get(i);
            entries.add(
                    control == null
                            ? new DirectEntry(policy, site, cluster, seed * 17 + i)
                            : control.entry(i, seed * 17 + i));
        }
        for (RequestSpec s : trace) {
            RequestRun run = new RequestRun(s);
            runs.add(run);
            recorder.add(run);
            loop.after(s.arrivalMicros(), () -> arrive(run));
        }
        if (!scenario.zoneGone().isEmpty()) {
            loop.after((scenario.seconds() / 2) * MICROS, this::failZone);
        }
    }

    private void arrive(RequestRun run) {
        long patience = run.spec.work().deadlineMillis() - run.spec.work().arrivedMillis();
        if (control == null) {
            loop.after(patience * 1_000, () -> {
                if (run.state == RequestRun.State.WAITING) {
                    run.state = RequestRun.State.GAVE_UP;
                    entries.get(run.entry).giveUp(run);
                }
            });
        }
        if (isGone(run.entry)) {
            run.entry = 0;
        }
        entries.get(run.entry).submit(run);
    }

    private boolean isGone(int entry) {
        return !scenario.zoneGone().isEmpty()
                && loop.nowMicros() >= (scenario.seconds() / 2) * MICROS
                && scenario.entries().get(entry).zone().equals(scenario.zoneGone());
    }

    /** The runners of a zone stop; callers of its entries are sent to others, those entries' streams end. */
    private void failZone() {
        for (int i = 0; i < cluster.size(); i++) {
            if (cluster.site(i).zone().equals(scenario.zoneGone())) {
                cluster.engine(i).stop();
                int gone = i;
                loop.after(LOSS_MICROS, () -> entries.forEach(e -> e.runnerGone(gone)));
            }
        }
    }

    /**
     * Runs until every request is over.
     *
     * @return the figures by name, never null
     */
    public Map<String, Double> run() {
        loop.run(scenario.seconds() * MICROS);
        for (int i = 0; i < DRAIN_SECONDS && runs.stream().anyMatch(r -> !r.isOver()); i++) {
            loop.run(loop.nowMicros() + MICROS);
        }
        Map<String, Double> figures = new LinkedHashMap<>(recorder.figures(scenario.seconds()));
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

    /** Passes the events of engines without an agent to the recorder and back to the entry. */
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
            // A plain load balancer reads no load reports.
        }

        @Override
        public void cacheChanged(long hash, boolean isCached) {
            // A plain load balancer reads no cache events.
        }
    }
}
