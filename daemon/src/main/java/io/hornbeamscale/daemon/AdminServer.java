package io.hornbeamscale.daemon;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Serves {@code /metrics}, {@code /health}, {@code /ready} and {@code /status} on the admin address, and the console
 * below {@code /console} if there is one.
 */
final class AdminServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Undertow server;
    private final MetricRegistry registry;
    private final HttpHandler console;
    private final BooleanSupplier isReady;
    private final Supplier<Map<String, Object>> status;

    AdminServer(
            InetSocketAddress address,
            MetricRegistry registry,
            BooleanSupplier isReady,
            Supplier<Map<String, Object>> status,
            HttpHandler console) {
        this.console = console;
        this.registry = registry;
        this.isReady = isReady;
        registry.gauge(
                "heap_used_bytes",
                () -> () ->
                        ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        this.status = status;
        this.server = Undertow.builder()
                .addHttpListener(address.getPort(), address.getAddress().getHostAddress(), this::handle)
                .setIoThreads(1)
                .setWorkerThreads(1)
                .build();
    }

    /** Starts the server and returns its address. */
    InetSocketAddress start() {
        server.start();
        return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    @Override
    public void close() {
        server.stop();
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        if (console != null && exchange.getRequestPath().startsWith("/console")) {
            console.handleRequest(exchange);
            return;
        }
        switch (exchange.getRequestPath()) {
            case "/metrics" -> send(exchange, 200, "text/plain; version=0.0.4", PrometheusText.of(registry));
            case "/health" -> send(exchange, 200, "text/plain", "ok\n");
            case "/ready" -> {
                boolean ready = isReady.getAsBoolean();
                send(exchange, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
            }
            case "/status" -> send(exchange, 200, "application/json", JSON.writeValueAsString(status.get()) + "\n");
            default -> send(exchange, 404, "text/plain", "there is nothing at this path\n");
        }
    }

    private static void send(HttpServerExchange exchange, int code, String type, String body) {
        exchange.setStatusCode(code);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        exchange.getResponseSender().send(body);
    }
}
