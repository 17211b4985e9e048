package io.hornbeamscale.standin;

import io.hornbeamscale.core.util.Arguments;

/** Builds an engine stand-in. */
public final class EngineBuilder {
    int port;
    long tokenMicros = 5_000;
    long memoryTokens = 100_000;
    int maxRunning = 64;
    boolean honoursPriorities;
    boolean checksFencing = true;
    long retainMillis = 60_000;
    long loadMillis;
    long loadLagMillis = 500;
    long cacheLagMillis = 500;
    int cacheGapEvery;
    String crashMarker = "";
    String model = "";
    String modelVersion = "";
    WeightStoreStandIn weights;

    EngineBuilder() {}

    /**
     * Sets the port.
     *
     * @param value the port, 0 for a free one
     * @return this builder
     */
    public EngineBuilder port(int value) {
        port = value;
        return this;
    }

    /**
     * Sets the time between tokens.
     *
     * @param value the time, in microseconds; 5,000 by default
     * @return this builder
     */
    public EngineBuilder tokenMicros(long value) {
        tokenMicros = value;
        return this;
    }

    /**
     * Sets the memory.
     *
     * @param value the memory, in tokens; 100,000 by default
     * @return this builder
     */
    public EngineBuilder memoryTokens(long value) {
        memoryTokens = value;
        return this;
    }

    /**
     * Sets how many streams run at once.
     *
     * @param value the number of streams; 64 by default
     * @return this builder
     */
    public EngineBuilder maxRunning(int value) {
        maxRunning = value;
        return this;
    }

    /**
     * Sets whether waiting streams start in the order of the request's priority field.
     *
     * @param value whether priorities are honoured
     * @return this builder
     */
    public EngineBuilder honoursPriorities(boolean value) {
        honoursPriorities = value;
        return this;
    }

    /**
     * Sets whether orders with an old fencing number are rejected.
     *
     * @param value whether fencing numbers are checked; true by default
     * @return this builder
     */
    public EngineBuilder checksFencing(boolean value) {
        checksFencing = value;
        return this;
    }

    /**
     * Sets how long an ended stream can be resumed.
     *
     * @param value the time, in milliseconds; 60,000 by default
     * @return this builder
     */
    public EngineBuilder retainMillis(long value) {
        retainMillis = value;
        return this;
    }

    /**
     * Sets how long the engine reports that it is loading after an order.
     *
     * @param value the time, in milliseconds
     * @return this builder
     */
    public EngineBuilder loadMillis(long value) {
        loadMillis = value;
        return this;
    }

    /**
     * Sets the age of load reports.
     *
     * @param value the age, in milliseconds; 500 by default
     * @return this builder
     */
    public EngineBuilder loadLagMillis(long value) {
        loadLagMillis = value;
        return this;
    }

    /**
     * Sets the delay of cache events.
     *
     * @param value the delay, in milliseconds; 500 by default
     * @return this builder
     */
    public EngineBuilder cacheLagMillis(long value) {
        cacheLagMillis = value;
        return this;
    }

    /**
     * Sets which cache events are lost.
     *
     * @param value every how many events one is lost, 0 for none
     * @return this builder
     */
    public EngineBuilder cacheGapEvery(int value) {
        cacheGapEvery = value;
        return this;
    }

    /**
     * Sets a text whose presence in a prompt crashes the engine.
     *
     * @param value the text, empty for none, not null
     * @return this builder
     */
    public EngineBuilder crashMarker(String value) {
        crashMarker = Arguments.notNull(value, "value");
        return this;
    }

    /**
     * Sets the weight store that load orders fetch from.
     *
     * @param value the weight store, null for none
     * @return this builder
     */
    public EngineBuilder weights(WeightStoreStandIn value) {
        weights = value;
        return this;
    }

    /**
     * Sets the model that is loaded at the start.
     *
     * @param name the model, not null
     * @param version the version, not null
     * @return this builder
     */
    public EngineBuilder model(String name, String version) {
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
