package io.hornbeamscale.measure.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes that miss a scheduling target of the design page that is met so far. The bounds are these
 * targets, most of them relative to the policy least-outstanding, as means over the same three seeds.
 */
class SchedulingTargetsTest {
    private static final int SEEDS = 3;

    private static Map<String, Double> baseline;
    private static Map<String, Double> controlled;

    @BeforeAll
    static void run() {
        baseline = mean("longtail", Policy.LEAST_OUTSTANDING);
        controlled = mean("longtail", Policy.HORNBEAM);
    }

    private static Map<String, Double> mean(String scenario, Policy policy) {
        Map<String, Double> sum = new LinkedHashMap<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            new ScenarioSimulation(Scenarios.of(scenario), policy, seed, Set.of())
                    .run()
                    .forEach((name, value) -> sum.merge(name, value / SEEDS, Double::sum));
        }
        return sum;
    }

    private static void assertRatio(String figure, double bound) {
        double ratio = controlled.get(figure) / baseline.get(figure);
        assertTrue(ratio <= bound, figure + " is " + ratio + " times the baseline, bound " + bound);
    }

    @Test
    void streamsStallLess() {
        assertRatio("stall_s", 0.25);
    }

    @Test
    void enginesPreemptLess() {
        assertRatio("preemptions", 0.1);
    }

    @Test
    void shortWorkIsNotBlocked() {
        assertRatio("short_wait_p99_s", 0.2);
    }

    @Test
    void longWorkCompletesAndNoneIsLost() {
        assertRatio("long_done_mean_s", 1.1);
        assertEquals(0, controlled.get("long_lost"));
        assertEquals(0, controlled.get("unfinished"));
    }

    @Test
    void firstTokenIsInTime() {
        assertTrue(controlled.get("ttft_p95_s") <= 1.4, "first token " + controlled.get("ttft_p95_s"));
    }

    /** Guards against figures that differ between two runs with the same seed. */
    @Test
    void runsAreRepeatable() {
        Scenario s = Scenarios.of("zone");
        Map<String, Double> first = new ScenarioSimulation(s, Policy.HORNBEAM, 7, Set.of()).run();
        assertEquals(first, new ScenarioSimulation(s, Policy.HORNBEAM, 7, Set.of()).run());
    }
}
