package io.hornbeamscale.standin;

import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for a plain HTTP service. It accepts every method and path and counts executions per call id, which is the
 * {@code X-Call-Id} header, or else the {@code Idempotency-Key} header. The response echoes the call id, method, path
 * and body.
 */
public final class PlainStandIn implements AutoCloseable {
    private final LoopbackServer server;
    private final FaultInjector faults = new FaultInjector();
    private final FaultInjectingHandler handler = new FaultInjectingHandler(faults);
    private final boolean deduplicatesKeys;
    private final long workMillis;
    private final Map<String, Integer> executions = new ConcurrentHashMap<>();
    private final Map<String, StandInResponse> responsesByKey = new ConcurrentHashMap<>();
    private final AtomicLong totalExecutions = new AtomicLong();

    private PlainStandIn(Builder builder) {
        deduplicatesKeys = builder.deduplicatesKeys;
        workMillis = builder.workMillis;
        server = new LoopbackServer(builder.port, this::handle);
    }

    /**
     * Creates a builder.
     *
     * @return a builder with port 0, no work time and no deduplication
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Starts the service.
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
     * Returns how often a call was executed.
     *
     * @param callId the call id, not null
     * @return the number of executions
     */
    public int executions(String callId) {
        return executions.getOrDefault(callId, 0);
    }

    /**
     * Returns the number of executions of each call that carried an id.
     *
     * @return a copy that maps each call id to its number of executions
     */
    public Map<String, Integer> executionsByCallId() {
        return Map.copyOf(executions);
    }

    /**
     * Returns the number of executions of all calls, with or without an id.
     *
     * @return the number of executions
     */
    public long totalExecutions() {
        return totalExecutions.get();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpServerExchange exchange) {
        handler.run(exchange, workMillis, body -> execute(exchange, body));
    }

    private StandInResponse execute(HttpServerExchange exchange, String body) {
        String key = FaultInjectingHandler.requestHeader(exchange, "Idempotency-Key");
        if (deduplicatesKeys && !key.isEmpty()) {
            return responsesByKey.computeIfAbsent(key, k -> executeOnce(exchange, body));
        }
        return executeOnce(exchange, body);
    }

    private StandInResponse executeOnce(HttpServerExchange exchange, String body) {
        String id = callId(exchange);
        long number = totalExecutions.incrementAndGet();
        int count = id.isEmpty() ? 1 : executions.merge(id, 1, Integer::sum);
        Map<String, Object> node = new LinkedHashMap<>();
        node.put("call", id);
        node.put("method", exchange.getRequestMethod().toString());
        node.put("path", exchange.getRequestPath());
        node.put("execution", count);
        node.put("number", number);
        node.put("body", body);
        return new StandInResponse(
                200, Map.of("Content-Type", "application/json", "X-Call-Id", id), StandInJson.text(node));
    }

    private static String callId(HttpServerExchange exchange) {
        String id = FaultInjectingHandler.requestHeader(exchange, "X-Call-Id");
        return id.isEmpty() ? FaultInjectingHandler.requestHeader(exchange, "Idempotency-Key") : id;
    }

    /** Builds a plain service. */
    public static final class Builder {
        private int port;
        private boolean deduplicatesKeys;
        private long workMillis;

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
         * Sets whether calls with the same idempotency key are executed once.
         *
         * @param value whether the service deduplicates
         * @return this builder
         */
        public Builder deduplicatesKeys(boolean value) {
            deduplicatesKeys = value;
            return this;
        }

        /**
         * Sets how long one execution takes.
         *
         * @param value the time, in milliseconds
         * @return this builder
         */
        public Builder workMillis(long value) {
            workMillis = value;
            return this;
        }

        /**
         * Creates the service.
         *
         * @return a service that is not started
         */
        public PlainStandIn build() {
            return new PlainStandIn(this);
        }
    }
}
