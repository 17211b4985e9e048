package io.hornbeamscale.measure.sim;

import io.hornbeamscale.measure.engine.EngineSettings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The predefined scenarios of the design page. */
public final class Scenarios {
    private static final List<String> NAMES = List.of(
            "steady", "crest", "monday", "longtail", "slow", "slow-none", "flood", "pair", "zone", "tours", "sensors");
    private static final NodeLocation ZONE_1 = new NodeLocation("r1", "z1");
    private static final NodeLocation ZONE_2 = new NodeLocation("r1", "z2");
    /**
     * The output tokens per second of one saturated backend server with {@link #MIX_PROFILES}. The saturated-*
     * scenarios yield these capacities with the policy least-outstanding and seeds 1 to 4.
     */
    private static final double MIX_TOKENS_PER_SECOND = 1_543;

    private static final double LONG_TAIL_TOKENS_PER_SECOND = 1_752;
    private static final double SENSORS_TOKENS_PER_SECOND = 1_253;

    private static final List<WorkProfile> LONG_TAIL_PROFILES = List.of(
            new WorkProfile("short", 5, 0.8, 200, 60, 0.6, 30_000),
            new WorkProfile("long", 5, 0.2, 600, 700, 0.7, 60_000));
    private static final List<WorkProfile> SENSORS_PROFILES = List.of(
            new WorkProfile("short", 5, 0.75, 400, 25, 0.4, 30_000),
            new WorkProfile("long", 5, 0.25, 800, 1_300, 0.8, 60_000));
    private static final List<WorkProfile> MIX_PROFILES = List.of(
            new WorkProfile("short", 5, 0.65, 200, 60, 0.6, 30_000),
            new WorkProfile("long", 5, 0.35, 600, 1_000, 0.7, 60_000));

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
                base(name)
                        .demandPattern(Scenario.DemandPattern.SURGES)
                        .offeredLoad(0.6)
                        .arrivalSeconds(240)
                        .build();
            case "monday" -> base(name).offeredLoad(0.6).initialBacklog(1_500).build();
            case "longtail" ->
                base(name)
                        .workProfiles(LONG_TAIL_PROFILES)
                        .backendTokensPerSecond(LONG_TAIL_TOKENS_PER_SECOND)
                        .hugeRequestIntervalSeconds(12)
                        .arrivalSeconds(200)
                        .build();
            case "slow" -> base(name).slowBackends(2).build();
            case "slow-none" -> base(name).build();
            case "flood" -> base(name).offeredLoad(0.5).floodLoad(1.0).build();
            case "pair" ->
                base(name).offeredLoad(2.0).customerShares(equalShares(2)).build();
            case "zone" -> base(name).offeredLoad(0.5).failedZone("z2").build();
            case "tours" -> twoRegions(name, "amman", "wadi-musa").build();
            case "sensors" ->
                twoRegions(name, "qc-est", "qc-ouest")
                        .workProfiles(SENSORS_PROFILES)
                        .backendTokensPerSecond(SENSORS_TOKENS_PER_SECOND)
                        .build();
            case "saturated-mix" -> base(name).offeredLoad(2.0).build();
            case "saturated-tail" ->
                base(name)
                        .workProfiles(LONG_TAIL_PROFILES)
                        .hugeRequestIntervalSeconds(12)
                        .backendTokensPerSecond(LONG_TAIL_TOKENS_PER_SECOND)
                        .offeredLoad(2.0)
                        .build();
            case "saturated-sensors" ->
                base(name)
                        .workProfiles(SENSORS_PROFILES)
                        .backendTokensPerSecond(SENSORS_TOKENS_PER_SECOND)
                        .offeredLoad(2.0)
                        .build();
            default -> throw new IllegalArgumentException("scenario must be one of " + NAMES + ": " + name);
        };
    }

    private static ScenarioBuilder base(String name) {
        List<NodeLocation> backends = new ArrayList<>();
        backends.addAll(Collections.nCopies(4, ZONE_1));
        backends.addAll(Collections.nCopies(4, ZONE_2));
        return new ScenarioBuilder(name)
                .backends(backends)
                .entries(List.of(ZONE_1, ZONE_1, ZONE_2, ZONE_2))
                .engine(EngineSettings.standard())
                .workProfiles(MIX_PROFILES)
                .backendTokensPerSecond(MIX_TOKENS_PER_SECOND)
                .customerShares(skewedShares());
    }

    private static ScenarioBuilder twoRegions(String name, String home, String remote) {
        NodeLocation home1 = new NodeLocation(home, home + "-1");
        NodeLocation home2 = new NodeLocation(home, home + "-2");
        NodeLocation remote1 = new NodeLocation(remote, remote + "-1");
        return base(name)
                .backends(List.of(home1, home1, home1, home2, home2, home2, remote1, remote1))
                .entries(List.of(home1, home2, remote1));
    }

    /** Returns the shares of ten customers, two of which send half of the requests. */
    private static List<Double> skewedShares() {
        List<Double> shares = new ArrayList<>(List.of(0.3, 0.2));
        shares.addAll(Collections.nCopies(8, 0.0625));
        return shares;
    }

    private static List<Double> equalShares(int count) {
        return Collections.nCopies(count, 1.0 / count);
    }
}
