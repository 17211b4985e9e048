package io.hornbeamscale.measure.sim;

import io.hornbeamscale.measure.engine.EngineSettings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The scenarios of the design page. */
public final class Scenarios {
    private static final List<String> NAMES = List.of(
            "steady", "crest", "monday", "longtail", "slow", "slow-none", "flood", "pair", "zone", "tours", "sensors");
    private static final Site A = new Site("r1", "z1");
    private static final Site B = new Site("r1", "z2");
    /** Measured with the scenarios named saturated, least-outstanding, seeds 1 to 4. */
    private static final double MIX_CAPACITY = 1_543;

    private static final double TAIL_CAPACITY = 1_752;
    private static final double SENSORS_CAPACITY = 1_253;

    private static final List<WorkShape> TAIL = List.of(
            new WorkShape("short", 5, 0.8, 200, 60, 0.6, 30_000), new WorkShape("long", 5, 0.2, 600, 700, 0.7, 60_000));
    private static final List<WorkShape> SENSORS = List.of(
            new WorkShape("short", 5, 0.75, 400, 25, 0.4, 30_000),
            new WorkShape("long", 5, 0.25, 800, 1_300, 0.8, 60_000));
    private static final List<WorkShape> MIX = List.of(
            new WorkShape("short", 5, 0.65, 200, 60, 0.6, 30_000),
            new WorkShape("long", 5, 0.35, 600, 1_000, 0.7, 60_000));

    private Scenarios() {}

    /**
     * Returns the names of all scenarios.
     *
     * @return the names, never null
     */
    public static List<String> names() {
        return NAMES;
    }

    /**
     * Finds a scenario.
     *
     * @param name the name
     * @return the scenario, never null
     * @throws IllegalArgumentException if no scenario has this name
     */
    public static Scenario of(String name) {
        return switch (name) {
            case "steady" -> base(name).build();
            case "crest" ->
                base(name).swing(Scenario.Swing.CREST).load(0.6).seconds(240).build();
            case "monday" -> base(name).load(0.6).backlog(1_500).build();
            case "longtail" ->
                base(name)
                        .shapes(TAIL)
                        .capacity(TAIL_CAPACITY)
                        .hugeEverySeconds(12)
                        .seconds(200)
                        .build();
            case "slow" -> base(name).slowRunners(2).build();
            case "slow-none" -> base(name).build();
            case "flood" -> base(name).load(0.5).flood(1.0).build();
            case "pair" -> base(name).load(2.0).customers(equal(2)).build();
            case "zone" -> base(name).load(0.5).zoneGone("z2").build();
            case "tours" -> deployment(name, "amman", "wadi-musa").build();
            case "sensors" ->
                deployment(name, "qc-est", "qc-ouest")
                        .shapes(SENSORS)
                        .capacity(SENSORS_CAPACITY)
                        .build();
            case "saturated-mix" -> base(name).load(2.0).build();
            case "saturated-tail" ->
                base(name)
                        .shapes(TAIL)
                        .hugeEverySeconds(12)
                        .capacity(TAIL_CAPACITY)
                        .load(2.0)
                        .build();
            case "saturated-sensors" ->
                base(name).shapes(SENSORS).capacity(SENSORS_CAPACITY).load(2.0).build();
            default -> throw new IllegalArgumentException("scenario must be one of " + NAMES + ": " + name);
        };
    }

    private static ScenarioBuilder base(String name) {
        List<Site> runners = new ArrayList<>();
        runners.addAll(Collections.nCopies(4, A));
        runners.addAll(Collections.nCopies(4, B));
        return new ScenarioBuilder(name)
                .runners(runners)
                .entries(List.of(A, A, B, B))
                .engine(EngineSettings.standard())
                .shapes(MIX)
                .capacity(MIX_CAPACITY)
                .customers(skewed());
    }

    private static ScenarioBuilder deployment(String name, String home, String remote) {
        Site one = new Site(home, home + "-1");
        Site two = new Site(home, home + "-2");
        Site three = new Site(remote, remote + "-1");
        return base(name)
                .runners(List.of(one, one, one, two, two, two, three, three))
                .entries(List.of(one, two, three));
    }

    /** Ten customers, two of them with half of the requests. */
    private static List<Double> skewed() {
        List<Double> shares = new ArrayList<>(List.of(0.3, 0.2));
        shares.addAll(Collections.nCopies(8, 0.0625));
        return shares;
    }

    private static List<Double> equal(int count) {
        return Collections.nCopies(count, 1.0 / count);
    }
}
