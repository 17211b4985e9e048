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
 * A stand-in for a model engine. It serves {@code POST /v1/completions}, {@code GET /v1/streams},
 * {@code GET /v1/streams/{id}?from=N}, {@code DELETE /v1/streams/{id}}, {@code GET /load},
 * {@code GET /cache-events?after=N}, {@code GET /state} and {@code POST /orders}. A generation has exactly
 * {@code max_tokens} tokens and continues if its reader disconnects.
 */
public final class EngineStandIn implements AutoCloseable {
    private static final int DEFAULT_MAX_TOKENS = 16;
    private static final long MIN_STEP_PAUSE_MICROS = 50;

    private final LoopbackServer server;
    private final FaultInjector faults = new FaultInjector();
    private final FaultInjectingHandler handler = new FaultInjectingHandler(faults);
    private final EngineState state;
    private final EngineCommandHandler commands;
    private final String crashMarker;
    private final long cacheEventLagMillis;
    private final int lostCacheEventInterval;
    private final long loadReportLagMillis;
    private final List<Map<String, Object>> loadReports = new ArrayList<>();
    private final AtomicLong startedGenerations = new AtomicLong();
    private final ScheduledExecutorService stepExecutor;
    private volatile long tokenMicros;
    private volatile boolean isDown;

    EngineStandIn(EngineStandInBuilder builder) {
        state = new EngineState(
                builder.memoryTokens, builder.maxRunning, builder.honoursPriorities, builder.retentionMillis);
        commands = new EngineCommandHandler(builder.checksFencing, builder.loadingMillis, builder.weightStore);
        if (!builder.model.isEmpty()) {
            commands.preload(builder.model, builder.modelVersion);
        }
        crashMarker = builder.crashMarker;
        cacheEventLagMillis = builder.cacheEventLagMillis;
        lostCacheEventInterval = builder.lostCacheEventInterval;
        loadReportLagMillis = builder.loadReportLagMillis;
        tokenMicros = builder.tokenMicros;
        server = new LoopbackServer(builder.port, this::handle);
        stepExecutor = Executors.newSingleThreadScheduledExecutor(task -> {
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
        stepExecutor.execute(this::step);
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
     * Changes the time between tokens while the engine runs, to simulate other workloads on the same hardware.
     *
     * @param micros the time between tokens, in microseconds
     */
    public void setTokenMicros(long micros) {
        tokenMicros = micros;
    }

    /** Crashes the engine: all streams are lost, and connections are closed until {@link #recover} is called. */
    public void crash() {
        isDown = true;
        state.crash().forEach(Runnable::run);
    }

    /** Makes a crashed engine serve requests again. Its streams stay lost. */
    public void recover() {
        isDown = false;
    }

    /**
     * Returns whether the engine has crashed and not recovered.
     *
     * @return true if it is down
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
        return startedGenerations.get();
    }

    /**
     * Returns the number of running and waiting streams.
     *
     * @return the number of streams that have not ended
     */
    public int liveStreams() {
        return state.liveStreams().size();
    }

    /**
     * Returns how often a running stream lost its memory and was queued again.
     *
     * @return the number since the start
     */
    public long preemptions() {
        return state.preemptions();
    }

    /**
     * Returns the number of commands that changed the state of the engine.
     *
     * @return the number since the start
     */
    public int executedCommands() {
        return commands.executedCommands();
    }

    /**
     * Returns the number of commands with an old fencing number, whether or not they were rejected.
     *
     * @return the number since the start
     */
    public int staleCommands() {
        return commands.staleCommands();
    }

    @Override
    public void close() {
        stepExecutor.shutdownNow();
        server.close();
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void step() {
        long start = System.nanoTime();
        state.step(now()).forEach(Runnable::run);
        sampleLoad();
        long usedMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start);
        long pauseMicros = Math.max(MIN_STEP_PAUSE_MICROS, tokenMicros - usedMicros);
        var unused = stepExecutor.schedule(this::step, pauseMicros, TimeUnit.MICROSECONDS);
    }

    private synchronized void sampleLoad() {
        long now = now();
        if (!loadReports.isEmpty()
                && now == (long) loadReports.get(loadReports.size() - 1).get("measuredMillis")) {
            return;
        }
        loadReports.add(load(now));
        while (loadReports.size() > 1 && (long) loadReports.get(1).get("measuredMillis") <= now - loadReportLagMillis) {
            loadReports.remove(0);
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

    private synchronized Map<String, Object> delayedLoad() {
        if (loadReports.isEmpty()) {
            return load(now());
        }
        Map<String, Object> node = new LinkedHashMap<>(loadReports.get(0));
        node.put("ageMillis", now() - (long) node.get("measuredMillis"));
        return node;
    }

    private void handle(HttpServerExchange exchange) {
        if (isDown) {
            FaultInjectingHandler.closeConnection(exchange);
            return;
        }
        String path = exchange.getRequestPath();
        String method = exchange.getRequestMethod().toString();
        if (path.equals("/v1/completions") && method.equals("POST")) {
            handler.runWithOwnResponse(exchange, body -> complete(exchange, body));
        } else if (path.startsWith("/v1/streams/") && method.equals("GET")) {
            resume(exchange, path.substring("/v1/streams/".length()));
        } else {
            handler.run(exchange, body -> route(method, path, exchange, body));
        }
    }

    private StandInResponse route(String method, String path, HttpServerExchange exchange, String body) {
        if (path.startsWith("/v1/streams/") && method.equals("DELETE")) {
            return cancel(path.substring("/v1/streams/".length()));
        }
        return switch (method + " " + path) {
            case "GET /v1/streams" -> StandInResponse.json(200, Map.of("streams", streams()));
            case "GET /load" -> StandInResponse.json(200, delayedLoad());
            case "GET /cache-events" ->
                cacheEvents(Long.parseLong(FaultInjectingHandler.queryParameter(exchange, "after", "0")));
            case "GET /state" -> StandInResponse.json(200, commands.state(now()));
            case "POST /orders" -> commands.execute(StandInJson.parse(body), now());
            default -> StandInResponse.error(404, "not_found");
        };
    }

    private void complete(HttpServerExchange exchange, String body) {
        JsonNode request;
        try {
            request = StandInJson.parse(body);
        } catch (RuntimeException e) {
            FaultInjectingHandler.send(exchange, StandInResponse.error(400, "bad_request"));
            return;
        }
        String prompt = request.path("prompt").asText();
        int maxTokens = request.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
        if (maxTokens < 1) {
            FaultInjectingHandler.send(exchange, StandInResponse.error(400, "max_tokens must be positive"));
            return;
        }
        startedGenerations.incrementAndGet();
        if (!crashMarker.isEmpty() && prompt.contains(crashMarker)) {
            crash();
            FaultInjectingHandler.closeConnection(exchange);
            return;
        }
        EngineStream stream;
        synchronized (state) {
            stream = state.submit(
                    FaultInjectingHandler.requestHeader(exchange, "X-Request-Id"),
                    prompt,
                    maxTokens,
                    request.path("priority").asInt(),
                    now());
            faults.consume(StandInFault.Stall.class).ifPresent(f -> stream.stallAfterTokens = f.afterTokens());
            faults.consume(StandInFault.CloseMidResponse.class)
                    .ifPresent(f -> stream.abortAfterTokens = f.afterTokens());
        }
        respond(exchange, stream, request.path("stream").asBoolean());
    }

    private void respond(HttpServerExchange exchange, EngineStream stream, boolean isStreamed) {
        if (faults.consume(StandInFault.LoseResponse.class).isPresent()) {
            FaultInjectingHandler.closeConnection(exchange);
            return;
        }
        long delay = faults.consume(StandInFault.DelayResponse.class)
                .map(StandInFault.DelayResponse::millis)
                .orElse(0L);
        FaultInjectingHandler.runAfter(exchange, delay, () -> {
            if (isStreamed) {
                sendStream(exchange, stream, 0);
            } else {
                new FullTextResponder(state, stream, exchange, handler).start();
            }
        });
    }

    private void resume(HttpServerExchange exchange, String id) {
        handler.runWithOwnResponse(exchange, body -> {
            EngineStream stream = state.find(id);
            if (stream == null) {
                FaultInjectingHandler.send(exchange, StandInResponse.error(404, "unknown_stream"));
                return;
            }
            sendStream(exchange, stream, Integer.parseInt(FaultInjectingHandler.queryParameter(exchange, "from", "0")));
        });
    }

    private void sendStream(HttpServerExchange exchange, EngineStream stream, int from) {
        exchange.getResponseHeaders().put(new HttpString("Content-Type"), "text/event-stream");
        exchange.getResponseHeaders().put(new HttpString("X-Stream-Id"), stream.id);
        exchange.getResponseHeaders().put(new HttpString("X-Request-Id"), stream.requestId);
        new TokenStreamSender(state, stream, exchange, from).start();
    }

    private StandInResponse cancel(String id) {
        EngineStream stream = state.find(id);
        if (stream == null || !state.cancel(id, now())) {
            return StandInResponse.error(404, "unknown_stream");
        }
        stream.listeners().forEach(Runnable::run);
        return StandInResponse.json(200, Map.of("id", id, "emitted", stream.emitted));
    }

    private List<Map<String, Object>> streams() {
        List<Map<String, Object>> nodes = new ArrayList<>();
        for (EngineStream stream : state.liveStreams()) {
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

    private StandInResponse cacheEvents(long after) {
        List<EngineState.CacheEvent> events = new ArrayList<>(state.cacheEvents(after, now() - cacheEventLagMillis));
        if (lostCacheEventInterval > 0) {
            events.removeIf(e -> e.sequence() % lostCacheEventInterval == 0);
        }
        return StandInResponse.json(200, Map.of("events", events));
    }
}
