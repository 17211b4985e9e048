package io.hornbeamscale.standin;

import io.hornbeamscale.core.util.Arguments;

/** Builds an engine stand-in. */
public final class EngineStandInBuilder {
    int port;
    long tokenMicros = 5_000;
    long memoryTokens = 100_000;
    int maxRunning = 64;
    boolean honoursPriorities;
    boolean checksFencing = true;
    long retentionMillis = 60_000;
    long loadingMillis;
    long loadReportLagMillis = 500;
    long cacheEventLagMillis = 500;
    int lostCacheEventInterval;
    String crashMarker = "";
    String model = "";
    String modelVersion = "";
    WeightStoreStandIn weightStore;

    EngineStandInBuilder() {}

    /**
     * Sets the port.
     *
     * @param value the port, 0 for a free one
     * @return this builder
     */
    public EngineStandInBuilder port(int value) {
        port = value;
        return this;
    }

    /**
     * Sets the time between tokens.
     *
     * @param value the time, in microseconds; 5,000 by default
     * @return this builder
     */
    public EngineStandInBuilder tokenMicros(long value) {
        tokenMicros = value;
        return this;
    }

    /**
     * Sets the memory size.
     *
     * @param value the memory, in tokens; 100,000 by default
     * @return this builder
     */
    public EngineStandInBuilder memoryTokens(long value) {
        memoryTokens = value;
        return this;
    }

    /**
     * Sets the maximum number of running streams.
     *
     * @param value the number of streams; 64 by default
     * @return this builder
     */
    public EngineStandInBuilder maxRunning(int value) {
        maxRunning = value;
        return this;
    }

    /**
     * Sets whether waiting streams start in the order of the request's priority field, the greatest first.
     *
     * @param value whether priorities are honoured; false by default
     * @return this builder
     */
    public EngineStandInBuilder honoursPriorities(boolean value) {
        honoursPriorities = value;
        return this;
    }

    /**
     * Sets whether commands with an old fencing number are rejected.
     *
     * @param value whether fencing numbers are checked; true by default
     * @return this builder
     */
    public EngineStandInBuilder checksFencing(boolean value) {
        checksFencing = value;
        return this;
    }

    /**
     * Sets how long an ended stream is retained and can be resumed.
     *
     * @param value the time, in milliseconds; 60,000 by default
     * @return this builder
     */
    public EngineStandInBuilder retentionMillis(long value) {
        retentionMillis = value;
        return this;
    }

    /**
     * Sets how long the engine reports that it is loading after a load command.
     *
     * @param value the time, in milliseconds; 0 by default
     * @return this builder
     */
    public EngineStandInBuilder loadingMillis(long value) {
        loadingMillis = value;
        return this;
    }

    /**
     * Sets the age of load reports.
     *
     * @param value the age, in milliseconds; 500 by default
     * @return this builder
     */
    public EngineStandInBuilder loadReportLagMillis(long value) {
        loadReportLagMillis = value;
        return this;
    }

    /**
     * Sets the delay of cache events.
     *
     * @param value the delay, in milliseconds; 500 by default
     * @return this builder
     */
    public EngineStandInBuilder cacheEventLagMillis(long value) {
        cacheEventLagMillis = value;
        return this;
    }

    /**
     * Sets the interval of lost cache events.
     *
     * @param value the interval, in events: events whose sequence number is a multiple of it are lost; 0 for none
     * @return this builder
     */
    public EngineStandInBuilder lostCacheEventInterval(int value) {
        lostCacheEventInterval = value;
        return this;
    }

    /**
     * Sets a marker that crashes the engine if a prompt contains it.
     *
     * @param value the marker, empty for none, not null
     * @return this builder
     */
    public EngineStandInBuilder crashMarker(String value) {
        crashMarker = Arguments.notNull(value, "value");
        return this;
    }

    /**
     * Sets the weight store that load commands fetch from.
     *
     * @param value the weight store, null for none
     * @return this builder
     */
    public EngineStandInBuilder weightStore(WeightStoreStandIn value) {
        weightStore = value;
        return this;
    }

    /**
     * Sets the model that is loaded at the start.
     *
     * @param name the model, not null
     * @param version the version, not null
     * @return this builder
     */
    public EngineStandInBuilder model(String name, String version) {
        model = Arguments.notNull(name, "name");
        modelVersion = Arguments.notNull(version, "version");
        return this;
    }

    /**
     * Creates the engine.
     *
     * @return an engine that is not started
     */
    public EngineStandIn build() {
        return new EngineStandIn(this);
    }
}
