package io.hornbeamscale.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A model engine. It serves {@code POST /v1/completions}, {@code GET /v1/streams}, {@code GET /v1/streams/{id}?from=N},
 * {@code DELETE /v1/streams/{id}}, {@code GET /load}, {@code GET /cache-events?after=N}, {@code GET /state} and
 * {@code POST /orders}. A generation has exactly {@code max_tokens} tokens and continues when its reader goes away.
 */
public final class EngineStandIn implements AutoCloseable {
    private static final int DEFAULT_TOKENS = 16;
    private static final long MIN_STEP_MICROS = 50;

    private final LoopbackServer server;
    private final FaultInjector faults = new FaultInjector();
    private final FaultFlow flow = new FaultFlow(faults);
    private final EngineState state;
    private final EngineOrders orders;
    private final String crashMarker;
    private final long cacheLagMillis;
    private final int cacheGapEvery;
    private final long loadLagMillis;
    private final List<Map<String, Object>> loads = new ArrayList<>();
    private final AtomicLong started = new AtomicLong();
    private final ScheduledExecutorService steps;
    private volatile long tokenMicros;
    private volatile boolean isDown;

    EngineStandIn(EngineStandInBuilder builder) {
        state = new EngineState(
                builder.memoryTokens, builder.maxRunning, builder.honoursPriorities, builder.retentionMillis);
        orders = new EngineOrders(builder.checksFencing, builder.loadingMillis, builder.weightStore);
        if (!builder.model.isEmpty()) {
            orders.preload(builder.model, builder.modelVersion);
        }
        crashMarker = builder.crashMarker;
        cacheLagMillis = builder.cacheEventLagMillis;
        cacheGapEvery = builder.lostCacheEventInterval;
        loadLagMillis = builder.loadReportLagMillis;
        tokenMicros = builder.tokenMicros;
        server = new LoopbackServer(builder.port, this::handle);
        steps = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "standin-engine");
            thread.setDaemon(true);
            return thread;
        });
    }

    /**
     * Creates a builder.
     *
     * @return a builder with the defaults of {@link EngineStandInBuilder}
     */
    public static EngineStandInBuilder builder() {
        return new EngineStandInBuilder();
    }

    /**
     * Starts the engine.
     *
     * @return the address, with the port in use
     */
    public InetSocketAddress start() {
        steps.execute(this::step);
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
     * Changes the time between tokens while the engine runs, as other workloads on the hardware do.
     *
     * @param micros the time between tokens, in microseconds
     */
    public void setTokenMicros(long micros) {
        tokenMicros = micros;
    }

    /** Crashes the engine: all streams are lost, and requests are dropped until {@link #recover}. */
    public void crash() {
        isDown = true;
        state.crash().forEach(Runnable::run);
    }

    /** Makes a crashed engine serve again, without any stream. */
    public void recover() {
        isDown = false;
    }

    /**
     * Returns whether the engine has crashed and not recovered.
     *
     * @return whether it is down
     */
    public boolean isDown() {
        return isDown;
    }

    /**
     * Returns the number of generations that were started.
     *
     * @return the number of generations since the start
     */
    public long startedGenerations() {
        return started.get();
    }

    /**
     * Returns the number of running and waiting streams.
     *
     * @return the number of streams that have not ended
     */
    public int liveStreams() {
        return state.live().size();
    }

    /**
     * Returns the number of preemptions.
     *
     * @return the number since the start
     */
    public long preemptions() {
        return state.preemptions();
    }

    /**
     * Returns the number of orders that changed something.
     *
     * @return the number since the start
     */
    public int executedCommands() {
        return orders.executed();
    }

    /**
     * Returns the number of orders that carried an old fencing number, whether or not they were rejected.
     *
     * @return the number since the start
     */
    public int staleCommands() {
        return orders.stale();
    }

    @Override
    public void close() {
        steps.shutdownNow();
        server.close();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void step() {
        long begin = System.nanoTime();
        state.step(now()).forEach(Runnable::run);
        sampleLoad();
        long used = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - begin);
        long pause = Math.max(MIN_STEP_MICROS, tokenMicros - used);
        var unused = steps.schedule(this::step, pause, TimeUnit.MICROSECONDS);
    }

    private synchronized void sampleLoad() {
        long now = now();
        if (!loads.isEmpty() && now == (long) loads.get(loads.size() - 1).get("measuredMillis")) {
            return;
        }
        loads.add(load(now));
        while (loads.size() > 1 && (long) loads.get(1).get("measuredMillis") <= now - loadLagMillis) {
            loads.remove(0);
        }
    }

    private Map<String, Object> load(long now) {
        Map<String, Object> node = new LinkedHashMap<>();
        node.put("measuredMillis", now);
        node.put("usedTokens", state.usedTokens());
        node.put("running", state.runningCount());
        node.put("waiting", state.waitingCount());
        node.put("preemptions", state.preemptions());
        return node;
    }

    private synchronized Map<String, Object> laggingLoad() {
        if (loads.isEmpty()) {
            return load(now());
        }
        Map<String, Object> node = new LinkedHashMap<>(loads.get(0));
        node.put("ageMillis", now() - (long) node.get("measuredMillis"));
        return node;
    }

    private void handle(HttpServerExchange exchange) {
        if (isDown) {
            FaultFlow.drop(exchange);
            return;
        }
        String path = exchange.getRequestPath();
        String method = exchange.getRequestMethod().toString();
        if (path.equals("/v1/completions") && method.equals("POST")) {
            flow.runRaw(exchange, body -> complete(exchange, body));
        } else if (path.startsWith("/v1/streams/") && method.equals("GET")) {
            resume(exchange, path.substring("/v1/streams/".length()));
        } else {
            flow.run(exchange, body -> answer(method, path, exchange, body));
        }
    }

    private Answer answer(String method, String path, HttpServerExchange exchange, String body) {
        if (path.startsWith("/v1/streams/") && method.equals("DELETE")) {
            return cancel(path.substring("/v1/streams/".length()));
        }
        return switch (method + " " + path) {
            case "GET /v1/streams" -> Answer.json(200, Map.of("streams", streams()));
            case "GET /load" -> Answer.json(200, laggingLoad());
            case "GET /cache-events" -> cacheEvents(Long.parseLong(FaultFlow.query(exchange, "after", "0")));
            case "GET /state" -> Answer.json(200, orders.state(now()));
            case "POST /orders" -> orders.execute(Json.parse(body), now());
            default -> Answer.error(404, "not_found");
        };
    }

    private void complete(HttpServerExchange exchange, String body) {
        JsonNode request;
        try {
            request = Json.parse(body);
        } catch (RuntimeException e) {
            FaultFlow.send(exchange, Answer.error(400, "bad_request"));
            return;
        }
        String prompt = request.path("prompt").asText();
        int maxTokens = request.path("max_tokens").asInt(DEFAULT_TOKENS);
        if (maxTokens < 1) {
            FaultFlow.send(exchange, Answer.error(400, "max_tokens must be positive"));
            return;
        }
        started.incrementAndGet();
        if (!crashMarker.isEmpty() && prompt.contains(crashMarker)) {
            crash();
            FaultFlow.drop(exchange);
            return;
        }
        EngineStream stream;
        synchronized (state) {
            stream = state.submit(
                    FaultFlow.header(exchange, "X-Request-Id"),
                    prompt,
                    maxTokens,
                    request.path("priority").asInt(),
                    now());
            faults.take(StandInFault.Stall.class).ifPresent(f -> stream.stallAfter = f.afterTokens());
            faults.take(StandInFault.CloseMidResponse.class).ifPresent(f -> stream.dieAfter = f.afterTokens());
        }
        begin(exchange, stream, request.path("stream").asBoolean());
    }

    private void begin(HttpServerExchange exchange, EngineStream stream, boolean isStreamed) {
        if (faults.take(StandInFault.LoseResponse.class).isPresent()) {
            FaultFlow.drop(exchange);
            return;
        }
        long late = faults.take(StandInFault.DelayResponse.class)
                .map(StandInFault.DelayResponse::millis)
                .orElse(0L);
        FaultFlow.after(exchange, late, () -> {
            if (isStreamed) {
                stream(exchange, stream, 0);
            } else {
                new WholeAnswer(state, stream, exchange, flow).start();
            }
        });
    }

    private void resume(HttpServerExchange exchange, String id) {
        flow.runRaw(exchange, body -> {
            EngineStream stream = state.find(id);
            if (stream == null) {
                FaultFlow.send(exchange, Answer.error(404, "unknown_stream"));
                return;
            }
            stream(exchange, stream, Integer.parseInt(FaultFlow.query(exchange, "from", "0")));
        });
    }

    private void stream(HttpServerExchange exchange, EngineStream stream, int from) {
        exchange.getResponseHeaders().put(new HttpString("Content-Type"), "text/event-stream");
        exchange.getResponseHeaders().put(new HttpString("X-Stream-Id"), stream.id);
        exchange.getResponseHeaders().put(new HttpString("X-Request-Id"), stream.requestId);
        new StreamPump(state, stream, exchange, from).start();
    }

    private Answer cancel(String id) {
        EngineStream stream = state.find(id);
        if (stream == null || !state.cancel(id, now())) {
            return Answer.error(404, "unknown_stream");
        }
        stream.listeners().forEach(Runnable::run);
        return Answer.json(200, Map.of("id", id, "emitted", stream.emitted));
    }

    private List<Map<String, Object>> streams() {
        List<Map<String, Object>> nodes = new ArrayList<>();
        for (EngineStream stream : state.live()) {
            Map<String, Object> node = new LinkedHashMap<>();
            node.put("id", stream.id);
            node.put("request_id", stream.requestId);
            node.put("prompt_tokens", stream.promptTokens);
            node.put("emitted", stream.emitted);
            node.put("max_tokens", stream.maxTokens);
            node.put("running", stream.isRunning);
            nodes.add(node);
        }
        return nodes;
    }

    private Answer cacheEvents(long after) {
        List<EngineState.CacheEvent> events = new ArrayList<>(state.cacheEvents(after, now() - cacheLagMillis));
        if (cacheGapEvery > 0) {
            events.removeIf(e -> e.sequence() % cacheGapEvery == 0);
        }
        return Answer.json(200, Map.of("events", events));
    }
}
