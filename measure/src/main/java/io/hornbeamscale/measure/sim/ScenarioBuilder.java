package io.hornbeamscale.measure.sim;

import io.hornbeamscale.measure.engine.EngineSettings;
import java.util.List;

/** Builds scenarios; the defaults are 90% load, 140 s and no incident. */
final class ScenarioBuilder {
    private final String name;
    private List<Site> runners = List.of();
    private List<Site> entries = List.of();
    private EngineSettings engine;
    private List<WorkShape> shapes = List.of();
    private double capacity;
    private double load = 0.9;
    private int seconds = 140;
    private List<Double> customers = List.of(1.0);
    private Scenario.Swing swing = Scenario.Swing.GUSTS;
    private double hugeEverySeconds;
    private int slowRunners;
    private int backlog;
    private double flood;
    private String zoneGone = "";

    ScenarioBuilder(String name) {
        this.name = name;
    }

    ScenarioBuilder runners(List<Site> value) {
        runners = value;
        return this;
    }

    ScenarioBuilder entries(List<Site> value) {
        entries = value;
        return this;
    }

    ScenarioBuilder engine(EngineSettings value) {
        engine = value;
        return this;
    }

    ScenarioBuilder shapes(List<WorkShape> value) {
        shapes = value;
        return this;
    }

    ScenarioBuilder capacity(double value) {
        capacity = value;
        return this;
    }

    ScenarioBuilder load(double value) {
        load = value;
        return this;
    }

    ScenarioBuilder seconds(int value) {
        seconds = value;
        return this;
    }

    ScenarioBuilder customers(List<Double> value) {
        customers = value;
        return this;
    }

    ScenarioBuilder swing(Scenario.Swing value) {
        swing = value;
        return this;
    }

    ScenarioBuilder hugeEverySeconds(double value) {
        hugeEverySeconds = value;
        return this;
    }

    ScenarioBuilder slowRunners(int value) {
        slowRunners = value;
        return this;
    }

    ScenarioBuilder backlog(int value) {
        backlog = value;
        return this;
    }

    ScenarioBuilder flood(double value) {
        flood = value;
        return this;
    }

    ScenarioBuilder zoneGone(String value) {
        zoneGone = value;
        return this;
    }

    Scenario build() {
        return new Scenario(
                name,
                runners,
                entries,
                engine,
                shapes,
                capacity,
                load,
                seconds,
                customers,
                swing,
                hugeEverySeconds,
                slowRunners,
                backlog,
                flood,
                zoneGone);
    }
}
