package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.xnio.Option;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** The HTTP listeners of an entry: callers, readiness and metrics. */
final class GatewayServer implements AutoCloseable {
    /**
     * The greatest size of request headers that the parser accepts, in bytes; the limit of the document is checked
     * later.
     */
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    /**
     * A line has at least 4 bytes and a parameter at least 1, so that no head that fits is refused because of its
     * shape; what they take is counted while they are read.
     */
    private static final int MAX_HEADER_LINES = MAX_HEADER_BYTES;

    private static final int MAX_PARAMETERS = MAX_HEADER_BYTES;

    /**
     * No limit: this one would count the framing of chunks as body. {@link RequestBodyReader} checks the limit of the
     * document, and a connection with the rest of a refused body is closed after a short time.
     */
    private static final long MAX_ENTITY_BYTES = 1L << 40;

    /** How long a connection may stay without a request, in milliseconds; the limit of the document is shorter. */
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;

    /** How long the head of a request may take to arrive, in milliseconds. */
    private static final int PARSE_TIMEOUT_MILLIS = 10_000;

    private static final int BACKLOG = 512;

    private final Undertow undertow;
    private final Optional<CallerListener> callerListener;

    GatewayServer(
            GatewaySettings settings,
            XnioWorker worker,
            ByteBufferPool buffers,
            GatewayHandler callers,
            BooleanSupplier isReady,
            GatewayMetrics metrics) {
        Undertow.Builder builder = Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .setSocketOption(Options.BACKLOG, BACKLOG);
        OptionMap options = OptionMap.builder()
                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .set(UndertowOptions.MAX_HEADERS, MAX_HEADER_LINES)
                .set(UndertowOptions.MAX_ENTITY_SIZE, MAX_ENTITY_BYTES)
                .set(UndertowOptions.MAX_PARAMETERS, MAX_PARAMETERS)
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MILLIS)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ENABLE_HTTP2, false)
                .getMap();
        for (Option<?> each : options) {
            copy(options, each, builder);
        }
        callerListener = settings.callerAddress()
                .map(address -> new CallerListener(address, worker, buffers, options, callers, callers.connections()));
        settings.readinessAddress()
                .ifPresent(address -> listen(builder, address, exchange -> ready(exchange, isReady)));
        listen(builder, new Endpoint(settings.ip(), settings.metricsPort()), new MetricsHandler(metrics));
        undertow = builder.build();
    }

    void start() {
        undertow.start();
        callerListener.ifPresent(listener -> listener.start(BACKLOG));
    }

    @Override
    public void close() {
        callerListener.ifPresent(CallerListener::close);
        undertow.stop();
    }

    private static <T> void copy(OptionMap from, Option<T> option, Undertow.Builder to) {
        to.setServerOption(option, from.get(option));
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
