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
    private static final int SLOW_PERIOD_SECONDS = 30;
    private static final int SLOW_SECONDS = 8;

    private final Scenario scenario;
    private final EventLoop loop;
    private final List<FakeEngine> engines = new ArrayList<>();

    Cluster(Scenario scenario, EventLoop loop) {
        this.scenario = scenario;
        this.loop = loop;
    }

    void add(EngineListener listener, long seed) {
        int index = engines.size();
        engines.add(new FakeEngine(
                scenario.engine(), loop, listener, new Random(seed + index), micros -> slowdown(index, micros)));
    }

    /** The slowed runners are two neighbours, slowed at different moments that overlap. */
    private double slowdown(int index, long micros) {
        if (index >= scenario.slowRunners() * 2 || index % 2 != 0) {
            return 1;
        }
        long second = micros / 1_000_000 + index * 2L;
        boolean isSlow = second >= Scenario.WARM_UP_SECONDS && second % SLOW_PERIOD_SECONDS < SLOW_SECONDS;
        return isSlow ? SLOW_FACTOR : 1;
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
