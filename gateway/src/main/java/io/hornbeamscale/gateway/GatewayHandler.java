package io.hornbeamscale.gateway;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.route.Customer;
import io.hornbeamscale.core.route.Route;
import io.hornbeamscale.core.route.RouteDocument;
import io.hornbeamscale.core.route.RoutedService;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Accepts callers' requests on the traffic thread: checks route, API key and size limits, then starts a {@link Relay}.
 */
final class GatewayHandler implements HttpHandler {
    /** The colon and the end of a line; white space around a value is not counted. */
    private static final int HEADER_OVERHEAD_BYTES = 3;

    private static final long RETRY_AFTER_MILLIS = 500;

    /**
     * How long a request waits for the first document, in milliseconds; a retry at another entry takes about as long.
     */
    private static final long FIRST_DOCUMENT_TIMEOUT_MILLIS = 600;

    private static final long DOCUMENT_CHECK_INTERVAL_MILLIS = 20;

    private final TrafficState traffic;
    private final Supplier<Optional<RouteDocument>> document;
    private final CallerConnections connections;

    GatewayHandler(TrafficState traffic, Supplier<Optional<RouteDocument>> document) {
        this.traffic = traffic;
        this.document = document;
        connections = new CallerConnections(
                traffic.settings().clientLimits(), traffic.thread(), traffic.metrics(), traffic.log());
    }

    CallerConnections connections() {
        return connections;
    }

    /** Closes callers' connections that take longer than the document allows. */
    void closeIdleConnections(long nowMillis) {
        document.get().ifPresent(rules -> connections.closeExpired(rules.limits(), nowMillis));
    }

    /** Returns the number of requests whose response has not been written completely. */
    int openRequests() {
        return connections.connectionsInUse();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long now = ControlLoop.now();
        connections.requestStarted(exchange, now);
        CallerRequestHead head = traffic.codec().decodeCallerRequest(exchange.getRequestHeaders());
        if (document.get().isPresent()) {
            begin(exchange, head, document.get().get(), now);
        } else {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> awaitDocument(exchange, head, now));
        }
    }

    /** Holds a request until the first document arrives, about 300 ms after the start of the process. */
    private void awaitDocument(HttpServerExchange exchange, CallerRequestHead head, long arrivedAtMillis) {
        Optional<RouteDocument> present = document.get();
        if (present.isPresent()) {
            begin(exchange, head, present.get(), arrivedAtMillis);
        } else if (traffic.stop().isStopping()) {
            exchange.setPersistent(false);
            refuse(exchange, head, ErrorKind.DRAINING, 0, "the process stops without a document");
        } else if (ControlLoop.now() - arrivedAtMillis >= FIRST_DOCUMENT_TIMEOUT_MILLIS) {
            refuse(exchange, head, ErrorKind.STORE_UNAVAILABLE, RETRY_AFTER_MILLIS, "no document yet");
        } else {
            traffic.thread()
                    .executeAfter(
                            () -> awaitDocument(exchange, head, arrivedAtMillis),
                            DOCUMENT_CHECK_INTERVAL_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void begin(HttpServerExchange exchange, CallerRequestHead head, RouteDocument rules, long now) {
        Optional<Route> route = rules.route(exchange.getRequestHeaders().getFirst(Headers.HOST), path(exchange));
        if (route.isEmpty()) {
            refuse(exchange, head, ErrorKind.NOT_FOUND, -1, "no route, document " + rules.version());
            return;
        }
        Optional<Customer> customer = rules.customer(head.apiKey().orElse(null));
        boolean needsKey = rules.hasCustomers() && !route.get().isPublic();
        if (needsKey && customer.isEmpty()) {
            refuse(exchange, head, ErrorKind.UNAUTHORIZED, -1, "unknown key, document " + rules.version());
            return;
        }
        if (headerBytes(exchange.getRequestHeaders()) > rules.limits().maxHeaderBytes()) {
            exchange.setPersistent(false);
            refuse(exchange, head, ErrorKind.HEADERS_TOO_LARGE, -1, "headers too large");
            return;
        }
        if (exchange.getRequestContentLength() > rules.limits().maxBodyBytes()) {
            exchange.setPersistent(false);
            refuse(exchange, head, ErrorKind.PAYLOAD_TOO_LARGE, -1, "body too large");
            return;
        }
        readBody(exchange, head, rules, route.get(), needsKey ? customer : Optional.empty(), now);
    }

    private void readBody(
            HttpServerExchange exchange,
            CallerRequestHead head,
            RouteDocument rules,
            Route route,
            Optional<Customer> customer,
            long now) {
        CallerChannel channel = CallerChannel.of(exchange);
        if (channel == null) {
            // The connection is being closed.
            exchange.endExchange();
            return;
        }
        long maxBytes = rules.limits().maxBodyBytes();
        RequestBodyReader.Listener listener = new RequestBodyReader.Listener() {
            @Override
            public void completed(byte[] body) {
                accept(exchange, head, rules, route, customer, body, now);
            }

            @Override
            public void refused(ErrorKind kind, String why) {
                refuse(exchange, head, kind, kind == ErrorKind.OVERLOADED ? RETRY_AFTER_MILLIS : -1, why);
            }
        };
        long deadline = now + timeoutMillis(head, route);
        new RequestBodyReader(exchange, channel, connections, maxBytes, deadline, listener).begin(ControlLoop.now());
    }

    private static long timeoutMillis(CallerRequestHead head, Route route) {
        return head.timeoutMillis() > 0 ? Math.min(route.timeoutMillis(), head.timeoutMillis()) : route.timeoutMillis();
    }

    private void accept(
            HttpServerExchange exchange,
            CallerRequestHead head,
            RouteDocument rules,
            Route route,
            Optional<Customer> customer,
            byte[] body,
            long arrivedAtMillis) {
        String service = route.selectService(head.requestId().orElse("").hashCode());
        HeaderMap headers = exchange.getRequestHeaders();
        RelayRequest request = new RelayRequest(
                head,
                route,
                customer,
                rules.service(service).orElseGet(() -> new RoutedService(service, 0, Optional.empty())),
                exchange.getRequestMethod().toString(),
                target(exchange),
                headers,
                ByteBuffer.wrap(body),
                headers.contains(Headers.CONTENT_LENGTH) || headers.contains(Headers.TRANSFER_ENCODING),
                rules.version(),
                arrivedAtMillis,
                arrivedAtMillis + timeoutMillis(head, route));
        if (traffic.stop().isStopping()) {
            exchange.setPersistent(false);
        }
        if (traffic.stop().isRefused(request)) {
            refuse(exchange, head, ErrorKind.DRAINING, 0, Relay.EXIT_BEFORE_RESPONSE);
            return;
        }
        if (traffic.crashDetector().isQuarantined(request, arrivedAtMillis)) {
            refuse(exchange, head, ErrorKind.REQUEST_QUARANTINED, -1, "the request has crashed servers");
            return;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            CallerDisconnectDetector.start(exchange);
            Relay relay = request.isGeneration()
                    ? new StreamRelay(traffic, exchange, request)
                    : new PlainRelay(traffic, exchange, request);
            if (connections.setRelay(exchange, relay)) {
                relay.begin(ControlLoop.now());
            } else {
                traffic.log().refused(request.id(), 0, "the caller has closed the connection");
            }
        });
    }

    private void refuse(
            HttpServerExchange exchange, CallerRequestHead head, ErrorKind kind, long retryAfterMillis, String why) {
        int status = LocalErrorResponses.status(kind);
        traffic.metrics().requestRefused(status);
        traffic.log().refused(head.requestId().orElse("-"), status, why);
        exchange.setStatusCode(status);
        traffic.codec().encodeLocalResponse(exchange.getResponseHeaders(), head.requestId(), retryAfterMillis);
        byte[] body = LocalErrorResponses.body(kind);
        CallerChannel channel = CallerChannel.of(exchange);
        if (channel != null && !exchange.isRequestComplete()) {
            channel.discardRest(ControlLoop.now());
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> new CallerResponse(exchange).respond(body));
    }

    private static String path(HttpServerExchange exchange) {
        String uri = exchange.getRequestURI();
        if (!exchange.isHostIncludedInRequestURI()) {
            return uri;
        }
        int slash = uri.indexOf('/', uri.indexOf("://") + "://".length());
        return slash < 0 ? "/" : uri.substring(slash);
    }

    private static String target(HttpServerExchange exchange) {
        String query = exchange.getQueryString();
        return query.isEmpty() ? path(exchange) : path(exchange) + "?" + query;
    }

    private static long headerBytes(HeaderMap headers) {
        long size = 0;
        for (HeaderValues values : headers) {
            for (String value : values) {
                size += values.getHeaderName().length() + value.length() + HEADER_OVERHEAD_BYTES;
            }
        }
        return size;
    }
}
