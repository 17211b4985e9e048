package io.hornbeamscale.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for the platform's key-value store. {@code POST /call} takes a JSON object with {@code op} ({@code get},
 * {@code cas}, {@code acquire}, {@code release}) and returns a {@code reply}.
 * {@code GET /watch?key=K&after=REVISION&wait=MILLIS} responds when the revision exceeds the given one, or with 204
 * after the wait. The status is 413 for a value above the size limit, 429 for a call beyond the rate limits, and 503
 * for every call while the store is down.
 */
public final class StoreStandIn implements AutoCloseable {
    private final LoopbackServer server;
    private final FaultInjector faults = new FaultInjector();
    private final FaultInjectingHandler handler = new FaultInjectingHandler(faults);
    private final StoreState state;
    private final TokenBucket readLimit;
    private final TokenBucket writeLimit;
    private final Map<String, AtomicLong> calls = new ConcurrentHashMap<>();

    private StoreStandIn(Builder builder) {
        state = new StoreState(builder.maxValueBytes);
        readLimit = new TokenBucket(builder.readsPerSecond);
        writeLimit = new TokenBucket(builder.writesPerSecond);
        server = new LoopbackServer(builder.port, this::handle);
    }

    /**
     * Creates a builder.
     *
     * @return a builder with port 0, values up to 1 MB and no rate limits
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Starts the store.
     *
     * @return the address, with the port in use
     */
    public InetSocketAddress start() {
        return server.start();
    }

    /**
     * Returns the fault injector. Arm a {@link StandInFault.Refuse} for an outage.
     *
     * @return the fault injector, never null
     */
    public FaultInjector faults() {
        return faults;
    }

    /**
     * Returns the number of calls of an operation, including those beyond the rate limits.
     *
     * @param op {@code get}, {@code cas}, {@code acquire}, {@code release} or {@code watch}
     * @return the number of calls
     */
    public long calls(String op) {
        AtomicLong count = calls.get(op);
        return count == null ? 0 : count.get();
    }

    /**
     * Returns the number of calls that exceeded the rate limits.
     *
     * @return the number of calls
     */
    public long throttledCalls() {
        return calls("throttled");
    }

    /**
     * Returns the number of watches that wait for a change.
     *
     * @return the number of watches
     */
    public int pendingWatches() {
        return state.pendingWatches();
    }

    @Override
    public void close() {
        server.close();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void handle(HttpServerExchange exchange) {
        switch (exchange.getRequestMethod() + " " + exchange.getRequestPath()) {
            case "POST /call" -> handler.run(exchange, body -> call(StandInJson.parse(body)));
            case "GET /watch" -> watch(exchange);
            default -> FaultInjectingHandler.send(exchange, StandInResponse.error(404, "not_found"));
        }
    }

    private StandInResponse call(JsonNode node) {
        String op = node.path("op").asText();
        String key = node.path("key").asText();
        count(op);
        TokenBucket limit = op.equals("get") ? readLimit : writeLimit;
        if (!limit.tryAcquire()) {
            count("throttled");
            return StandInResponse.error(429, "rate_limited");
        }
        return switch (op) {
            case "get" -> StandInResponse.json(200, state.get(key, olderBy()));
            case "cas" ->
                compareAndSwap(
                        key, node.path("expected").asLong(), node.path("value").asText());
            case "acquire" ->
                acquire(key, node.path("owner").asText(), node.path("ttlMillis").asLong());
            case "release" ->
                StandInResponse.json(200, state.release(key, node.path("owner").asText(), now()));
            default -> StandInResponse.error(400, "unknown_op");
        };
    }

    private int olderBy() {
        return faults.consume(StandInFault.ReturnOlderValue.class)
                .map(StandInFault.ReturnOlderValue::revisions)
                .orElse(0);
    }

    private StandInResponse acquire(String key, String owner, long ttlMillis) {
        return StandInResponse.json(200, state.acquire(key, owner, ttlMillis, now()));
    }

    private StandInResponse compareAndSwap(String key, long expected, String value) {
        if (state.isTooLarge(value)) {
            return StandInResponse.error(413, "value_too_large");
        }
        return StandInResponse.json(200, state.compareAndSwap(key, expected, value));
    }

    private void watch(HttpServerExchange exchange) {
        handler.runWithOwnResponse(exchange, body -> {
            count("watch");
            if (!readLimit.tryAcquire()) {
                count("throttled");
                FaultInjectingHandler.send(exchange, StandInResponse.error(429, "rate_limited"));
                return;
            }
            String key = FaultInjectingHandler.queryParameter(exchange, "key", "");
            long after = Long.parseLong(FaultInjectingHandler.queryParameter(exchange, "after", "0"));
            long wait = Long.parseLong(FaultInjectingHandler.queryParameter(exchange, "wait", "10000"));
            StoreState.Watch pending = state.addWatch(
                    key, after, () -> FaultInjectingHandler.runAfter(exchange, 0, () -> respondToWatch(exchange, key)));
            if (pending == null) {
                respondToWatch(exchange, key);
                return;
            }
            FaultInjectingHandler.runAfter(exchange, Math.max(1, wait), () -> {
                if (state.removeWatch(pending)) {
                    FaultInjectingHandler.send(exchange, new StandInResponse(204, Map.of(), ""));
                }
            });
        });
    }

    private void respondToWatch(HttpServerExchange exchange, String key) {
        handler.deliver(exchange, StandInResponse.json(200, state.get(key, 0)));
    }

    private void count(String op) {
        calls.computeIfAbsent(op, k -> new AtomicLong()).incrementAndGet();
    }

    /** Builds a store. */
    public static final class Builder {
        private int port;
        private int maxValueBytes = 1_000_000;
        private double readsPerSecond;
        private double writesPerSecond;

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
         * Sets the maximum size of a value.
         *
         * @param value the size, in bytes of UTF-8; 1,000,000 by default
         * @return this builder
         */
        public Builder maxValueBytes(int value) {
            maxValueBytes = value;
            return this;
        }

        /**
         * Sets the rate limit of reads and watches.
         *
         * @param value calls per second, 0 for no limit
         * @return this builder
         */
        public Builder readsPerSecond(double value) {
            readsPerSecond = value;
            return this;
        }

        /**
         * Sets the rate limit of writes and lease calls.
         *
         * @param value calls per second, 0 for no limit
         * @return this builder
         */
        public Builder writesPerSecond(double value) {
            writesPerSecond = value;
            return this;
        }

        /**
         * Creates the store.
         *
         * @return a store that is not started
         */
        public StoreStandIn build() {
            return new StoreStandIn(this);
        }
    }
}
