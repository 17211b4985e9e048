package io.hornbeamscale.measure.sim;

import io.hornbeamscale.measure.engine.EngineJob;
import io.hornbeamscale.measure.engine.EngineListener;
import io.hornbeamscale.measure.engine.EventLoop;
import io.hornbeamscale.measure.engine.SimulatedEngine;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The engines of a scenario, their slow periods and the network delays to them. */
final class SimulatedCluster {
    private static final double SLOWDOWN_FACTOR = 5;

    private final Scenario scenario;
    private final EventLoop loop;
    private final List<SlowPeriods> slowPeriods = new ArrayList<>();
    private final List<SimulatedEngine> engines = new ArrayList<>();

    SimulatedCluster(Scenario scenario, EventLoop loop, long seed) {
        this.scenario = scenario;
        this.loop = loop;
        for (int i = 0; i < scenario.slowBackends(); i++) {
            slowPeriods.add(new SlowPeriods(scenario.arrivalSeconds(), new Random(seed * 101 + i)));
        }
    }

    void add(EngineListener listener, long seed) {
        int index = engines.size();
        engines.add(new SimulatedEngine(
                scenario.engine(), loop, listener, new Random(seed + index), micros -> slowdownFactor(index, micros)));
    }

    private double slowdownFactor(int index, long micros) {
        if (index >= scenario.slowBackends() * 2 || index % 2 != 0) {
            return 1;
        }
        return slowPeriods.get(index / 2).isSlow(micros) ? SLOWDOWN_FACTOR : 1;
    }

    int size() {
        return scenario.backends().size();
    }

    NodeLocation location(int backendIndex) {
        return scenario.backends().get(backendIndex);
    }

    SimulatedEngine engine(int backendIndex) {
        return engines.get(backendIndex);
    }

    EventLoop loop() {
        return loop;
    }

    long delayMicros(NodeLocation entry, int backendIndex) {
        return entry.delayMicros(location(backendIndex));
    }

    void runAfterDelay(NodeLocation entry, int backendIndex, Runnable action) {
        loop.after(delayMicros(entry, backendIndex), action);
    }

    EngineJob createJob(RequestRun run, Object owner, int priority) {
        RequestSpec s = run.spec;
        return new EngineJob(
                owner,
                s.work().promptTokens(),
                s.outputTokens(),
                priority,
                s.work().prefixHashes(),
                s.prefixTokens());
    }
}
