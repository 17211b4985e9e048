package io.hornbeamscale.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The platform's key-value store. {@code POST /call} takes a JSON object with {@code op} ({@code get},
 * {@code cas}, {@code acquire}, {@code release}) and answers with a {@code reply}. {@code GET
 * /watch?key=K&after=REVISION&wait=MILLIS} answers once the revision exceeds the given one, or with 204. A value above
 * the limit is answered with 413, a call beyond the rates with 429, and every call with 503 while the store is down.
 */
public final class StoreStandIn implements AutoCloseable {
    private final LoopbackServer server;
    private final FaultInjector faults = new FaultInjector();
    private final FaultFlow flow = new FaultFlow(faults);
    private final StoreState state;
    private final TokenBucket reads;
    private final TokenBucket writes;
    private final Map<String, AtomicLong> calls = new ConcurrentHashMap<>();

    private StoreStandIn(Builder builder) {
        state = new StoreState(builder.maxValueBytes);
        reads = new TokenBucket(builder.readsPerSecond);
        writes = new TokenBucket(builder.writesPerSecond);
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
     * Returns the fault injector. An armed {@link StandInFault.Refuse} is an outage.
     *
     * @return the fault injector, never null
     */
    public FaultInjector faults() {
        return faults;
    }

    /**
     * Returns how many calls of a kind arrived, whether or not they were within the rates.
     *
     * @param op {@code get}, {@code cas}, {@code acquire}, {@code release} or {@code watch}
     * @return the number of calls
     */
    public long calls(String op) {
        AtomicLong count = calls.get(op);
        return count == null ? 0 : count.get();
    }

    /**
     * Returns the number of calls that exceeded the rates.
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
            case "POST /call" -> flow.run(exchange, body -> call(Json.parse(body)));
            case "GET /watch" -> watch(exchange);
            default -> FaultFlow.send(exchange, Answer.error(404, "not_found"));
        }
    }

    private Answer call(JsonNode node) {
        String op = node.path("op").asText();
        String key = node.path("key").asText();
        count(op);
        TokenBucket bucket = op.equals("get") ? reads : writes;
        if (!bucket.tryTake()) {
            count("throttled");
            return Answer.error(429, "rate_limited");
        }
        return switch (op) {
            case "get" -> Answer.json(200, state.get(key, olderBy()));
            case "cas" ->
                swap(key, node.path("expected").asLong(), node.path("value").asText());
            case "acquire" ->
                acquire(key, node.path("owner").asText(), node.path("ttlMillis").asLong());
            case "release" ->
                Answer.json(200, state.release(key, node.path("owner").asText(), now()));
            default -> Answer.error(400, "unknown_op");
        };
    }

    private int olderBy() {
        return faults.take(StandInFault.ReturnOlderValue.class)
                .map(StandInFault.ReturnOlderValue::revisions)
                .orElse(0);
    }

    private Answer acquire(String key, String owner, long ttlMillis) {
        return Answer.json(200, state.acquire(key, owner, ttlMillis, now()));
    }

    private Answer swap(String key, long expected, String value) {
        if (state.isTooLarge(value)) {
            return Answer.error(413, "value_too_large");
        }
        return Answer.json(200, state.compareAndSwap(key, expected, value));
    }

    private void watch(HttpServerExchange exchange) {
        flow.runRaw(exchange, body -> {
            count("watch");
            if (!reads.tryTake()) {
                count("throttled");
                FaultFlow.send(exchange, Answer.error(429, "rate_limited"));
                return;
            }
            String key = FaultFlow.query(exchange, "key", "");
            long after = Long.parseLong(FaultFlow.query(exchange, "after", "0"));
            long wait = Long.parseLong(FaultFlow.query(exchange, "wait", "10000"));
            StoreState.Waiter waiter =
                    state.await(key, after, () -> FaultFlow.after(exchange, 0, () -> answerWatch(exchange, key)));
            if (waiter == null) {
                answerWatch(exchange, key);
                return;
            }
            FaultFlow.after(exchange, Math.max(1, wait), () -> {
                if (state.remove(waiter)) {
                    FaultFlow.send(exchange, new Answer(204, Map.of(), ""));
                }
            });
        });
    }

    private void answerWatch(HttpServerExchange exchange, String key) {
        flow.deliver(exchange, Answer.json(200, state.get(key, 0)));
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
         * Sets the greatest size of a value.
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
