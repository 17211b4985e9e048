package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.util.function.BooleanSupplier;
import org.xnio.XnioWorker;

/** The HTTP listeners of an entry: callers, readiness and metrics. */
final class GatewayServer implements AutoCloseable {
    /**
     * The greatest size of request headers that the parser accepts, in bytes; the limit of the document is checked
     * later.
     */
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    /** How long a connection may stay without a request, in milliseconds; the limit of the document is shorter. */
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;

    /** How long the head of a request may take to arrive, in milliseconds. */
    private static final int PARSE_TIMEOUT_MILLIS = 10_000;

    private static final int BACKLOG = 512;

    private final Undertow undertow;

    GatewayServer(
            GatewaySettings settings,
            XnioWorker worker,
            ByteBufferPool buffers,
            HttpHandler callers,
            BooleanSupplier isReady,
            GatewayMetrics metrics) {
        Undertow.Builder builder = Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .setSocketOption(org.xnio.Options.BACKLOG, BACKLOG);
        settings.callerAddress().ifPresent(address -> listen(builder, address, callers));
        settings.readinessAddress()
                .ifPresent(address -> listen(builder, address, exchange -> ready(exchange, isReady)));
        listen(builder, new Endpoint(settings.ip(), settings.metricsPort()), new MetricsHandler(metrics));
        undertow = builder.build();
    }

    void start() {
        undertow.start();
    }

    @Override
    public void close() {
        undertow.stop();
    }

    private static void listen(Undertow.Builder builder, Endpoint address, HttpHandler handler) {
        builder.addHttpListener(address.port(), address.ip(), handler);
    }

    private static void ready(HttpServerExchange exchange, BooleanSupplier isReady) {
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
        exchange.setStatusCode(isReady.getAsBoolean() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.endExchange();
    }
}
