package io.hornbeamscale.standin;

import io.hornbeamscale.core.util.Arguments;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for a weight store with a rate limit. {@code GET /weights/{name}/{version}} returns the size, 404 for an
 * unknown version, or 429 beyond the rate limit.
 */
public final class WeightStoreStandIn implements AutoCloseable {
    private final LoopbackServer server;
    private final FaultInjector faults = new FaultInjector();
    private final FaultInjectingHandler handler = new FaultInjectingHandler(faults);
    private final Map<String, Long> sizeBytesByKey = new ConcurrentHashMap<>();
    private final TokenBucket rateLimit;
    private final AtomicLong fetches = new AtomicLong();
    private final AtomicLong throttledFetches = new AtomicLong();

    private WeightStoreStandIn(int port, double fetchesPerSecond, int burst) {
        rateLimit = new TokenBucket(fetchesPerSecond, burst);
        server = new LoopbackServer(port, this::handle);
    }

    /**
     * Creates a builder.
     *
     * @return a builder with port 0 and no rate limit
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Starts the weight store.
     *
     * @return the address, with the port in use
     */
    public InetSocketAddress start() {
        return server.start();
    }

    /**
     * Returns the fault injector.
     *
     * @return the fault injector, never null
     */
    public FaultInjector faults() {
        return faults;
    }

    /**
     * Adds the weights of a version.
     *
     * @param name the model or adapter, not blank
     * @param version the version, not blank
     * @param sizeBytes the size, in bytes
     */
    public void put(String name, String version, long sizeBytes) {
        sizeBytesByKey.put(Arguments.notBlank(name, "name") + "/" + Arguments.notBlank(version, "version"), sizeBytes);
    }

    /**
     * Returns the number of successful fetches.
     *
     * @return the number since the start
     */
    public long fetches() {
        return fetches.get();
    }

    /**
     * Returns the number of fetches that exceeded the rate limit.
     *
     * @return the number since the start
     */
    public long throttledFetches() {
        return throttledFetches.get();
    }

    @Override
    public void close() {
        server.close();
    }

    boolean tryFetch(String name, String version) {
        return fetch(name + "/" + version).status() == 200;
    }

    private void handle(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (!path.startsWith("/weights/")) {
            FaultInjectingHandler.send(exchange, StandInResponse.error(404, "not_found"));
            return;
        }
        handler.run(exchange, body -> fetch(path.substring("/weights/".length())));
    }

    private StandInResponse fetch(String key) {
        if (!rateLimit.tryAcquire()) {
            throttledFetches.incrementAndGet();
            return new StandInResponse(
                    429, Map.of("Retry-After", "1"), StandInJson.text(Map.of("error", "rate_limited")));
        }
        Long size = sizeBytesByKey.get(key);
        if (size == null) {
            return StandInResponse.error(404, "unknown_weights");
        }
        fetches.incrementAndGet();
        return StandInResponse.json(200, Map.of("key", key, "sizeBytes", size));
    }

    /** Builds a weight store. */
    public static final class Builder {
        private int port;
        private double fetchesPerSecond;
        private int burst = 1;

        private Builder() {}

        /**
         * Sets the port.
         *
         * @param value the port, 0 for a free one
         * @return this builder
         */
        public Builder port(int value) {
            port = value;
            return this;
        }

        /**
         * Sets the rate limit.
         *
         * @param value fetches per second, 0 for no limit
         * @return this builder
         */
        public Builder fetchesPerSecond(double value) {
            fetchesPerSecond = value;
            return this;
        }

        /**
         * Sets the burst size of the rate limit.
         *
         * @param value the number of fetches, 1 by default
         * @return this builder
         */
        public Builder burst(int value) {
            burst = value;
            return this;
        }

        /**
         * Creates the weight store.
         *
         * @return a weight store that is not started
         */
        public WeightStoreStandIn build() {
            return new WeightStoreStandIn(port, fetchesPerSecond, burst);
        }
    }
}
