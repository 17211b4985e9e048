package io.hornbeamscale.measure.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.work.EngineLoad;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against a simulated engine that loses tokens or memory, which would falsify every figure. */
class SimulatedEngineTest implements EngineListener {
    private final EventLoop loop = new EventLoop();
    private final List<EngineJob> finished = new ArrayList<>();
    private int tokens;
    private int preempted;
    private EngineLoad load;

    private SimulatedEngine engine(double factor) {
        return new SimulatedEngine(EngineSettings.standard(), loop, this, new Random(1), t -> factor);
    }

    private static EngineJob job(int prompt, int output) {
        return new EngineJob("owner", prompt, output, 0, List.of(), 0);
    }

    /** Forty responses of 4,000 tokens need three times the memory: some are preempted, but all must complete. */
    @Test
    void preemptedWorkIsCompletedWithEachTokenOnce() {
        SimulatedEngine e = engine(1);
        for (int i = 0; i < 40; i++) {
            e.submit(job(200, 4_000));
        }
        loop.run(2_000_000_000L);
        assertEquals(40, finished.size());
        assertEquals(40 * 4_000, tokens);
        assertTrue(preempted > 0);
        assertEquals(preempted, e.preemptions());
        assertEquals(0, load.usedTokens());
        assertEquals(0, load.running());
    }

    /** Guards against a slowdown factor that does not lengthen the steps. */
    @Test
    void slowEngineTakesLonger() {
        engine(5).submit(job(100, 100));
        loop.run(3_000_000);
        int slow = tokens;
        tokens = 0;
        engine(1).submit(job(100, 100));
        loop.run(6_000_000);
        assertTrue(slow < 60 && tokens >= 100, slow + " and " + tokens);
    }

    @Override
    public void admitted(EngineJob job, boolean isFirst) {
        // Not part of these tests.
    }

    @Override
    public void emitted(EngineJob job) {
        tokens++;
    }

    @Override
    public void finished(EngineJob job) {
        finished.add(job);
    }

    @Override
    public void preempted(EngineJob job) {
        preempted++;
    }

    @Override
    public void reported(EngineLoad report) {
        load = report;
    }

    @Override
    public void cacheChanged(long hash, boolean isCached) {
        // Not part of these tests.
    }
}
