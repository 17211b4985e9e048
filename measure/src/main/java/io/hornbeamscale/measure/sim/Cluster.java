package io.hornbeamscale.measure.sim;

import io.hornbeamscale.measure.engine.EngineJob;
import io.hornbeamscale.measure.engine.EngineListener;
import io.hornbeamscale.measure.engine.EventLoop;
import io.hornbeamscale.measure.engine.FakeEngine;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The engines of a scenario, their incidents and the delays to them. */
final class Cluster {
    private static final double SLOW_FACTOR = 5;

    private final Scenario scenario;
    private final EventLoop loop;
    private final List<SlowMoments> moments = new ArrayList<>();
    private final List<FakeEngine> engines = new ArrayList<>();

    Cluster(Scenario scenario, EventLoop loop, long seed) {
        this.scenario = scenario;
        this.loop = loop;
        for (int i = 0; i < scenario.slowRunners(); i++) {
            moments.add(new SlowMoments(scenario.seconds(), new Random(seed * 101 + i)));
        }
    }

    void add(EngineListener listener, long seed) {
        int index = engines.size();
        engines.add(new FakeEngine(
                scenario.engine(), loop, listener, new Random(seed + index), micros -> slowdown(index, micros)));
    }

    private double slowdown(int index, long micros) {
        if (index >= scenario.slowRunners() * 2 || index % 2 != 0) {
            return 1;
        }
        return moments.get(index / 2).isSlow(micros) ? SLOW_FACTOR : 1;
    }

    int size() {
        return scenario.runners().size();
    }

    Site site(int runner) {
        return scenario.runners().get(runner);
    }

    FakeEngine engine(int runner) {
        return engines.get(runner);
    }

    EventLoop loop() {
        return loop;
    }

    long delay(Site entry, int runner) {
        return entry.delayMicros(site(runner));
    }

    void after(Site entry, int runner, Runnable action) {
        loop.after(delay(entry, runner), action);
    }

    EngineJob job(RequestRun run, Object owner, int priority) {
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
