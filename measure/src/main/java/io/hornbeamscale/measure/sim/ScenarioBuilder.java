package io.hornbeamscale.measure.sim;

import io.hornbeamscale.measure.engine.EngineSettings;
import java.util.List;

/** Builds scenarios. The defaults are 90% load, 140 s and no incident. */
final class ScenarioBuilder {
    private final String name;
    private List<NodeLocation> backends = List.of();
    private List<NodeLocation> entries = List.of();
    private EngineSettings engine;
    private List<WorkProfile> workProfiles = List.of();
    private double backendTokensPerSecond;
    private double offeredLoad = 0.9;
    private int arrivalSeconds = 140;
    private List<Double> customerShares = List.of(1.0);
    private Scenario.DemandPattern demandPattern = Scenario.DemandPattern.FLUCTUATING;
    private double hugeRequestIntervalSeconds;
    private int slowBackends;
    private int initialBacklog;
    private double floodLoad;
    private String failedZone = "";

    ScenarioBuilder(String name) {
        this.name = name;
    }

    ScenarioBuilder backends(List<NodeLocation> value) {
        backends = value;
        return this;
    }

    ScenarioBuilder entries(List<NodeLocation> value) {
        entries = value;
        return this;
    }

    ScenarioBuilder engine(EngineSettings value) {
        engine = value;
        return this;
    }

    ScenarioBuilder workProfiles(List<WorkProfile> value) {
        workProfiles = value;
        return this;
    }

    ScenarioBuilder backendTokensPerSecond(double value) {
        backendTokensPerSecond = value;
        return this;
    }

    ScenarioBuilder offeredLoad(double value) {
        offeredLoad = value;
        return this;
    }

    ScenarioBuilder arrivalSeconds(int value) {
        arrivalSeconds = value;
        return this;
    }

    ScenarioBuilder customerShares(List<Double> value) {
        customerShares = value;
        return this;
    }

    ScenarioBuilder demandPattern(Scenario.DemandPattern value) {
        demandPattern = value;
        return this;
    }

    ScenarioBuilder hugeRequestIntervalSeconds(double value) {
        hugeRequestIntervalSeconds = value;
        return this;
    }

    ScenarioBuilder slowBackends(int value) {
        slowBackends = value;
        return this;
    }

    ScenarioBuilder initialBacklog(int value) {
        initialBacklog = value;
        return this;
    }

    ScenarioBuilder floodLoad(double value) {
        floodLoad = value;
        return this;
    }

    ScenarioBuilder failedZone(String value) {
        failedZone = value;
        return this;
    }

    Scenario build() {
        return new Scenario(
                name,
                backends,
                entries,
                engine,
                workProfiles,
                backendTokensPerSecond,
                offeredLoad,
                arrivalSeconds,
                customerShares,
                demandPattern,
                hugeRequestIntervalSeconds,
                slowBackends,
                initialBacklog,
                floodLoad,
                failedZone);
    }
}
