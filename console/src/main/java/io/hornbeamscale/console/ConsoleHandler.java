package io.hornbeamscale.console;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.external.KeyValueStore;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.handlers.Cookie;
import io.undertow.server.handlers.CookieImpl;
import io.undertow.server.handlers.form.FormData;
import io.undertow.server.handlers.form.FormDataParser;
import io.undertow.server.handlers.form.FormEncodedDataDefinition;
import io.undertow.server.handlers.form.FormParserFactory;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Serves the operator console under {@code /console/} on Undertow. Requests are handled on worker threads, since pages
 * wait for the store. Browsers send the session cookie only over HTTPS or to the local host.
 */
public final class ConsoleHandler implements HttpHandler {
    /** The session cookie. Browsers accept the prefix {@code __Host-} only for secure cookies of the whole host. */
    public static final String SESSION_COOKIE_NAME = "__Host-hornbeamscale";

    /** The greatest size of a form, in bytes. */
    public static final long MAX_FORM_BYTES = 64 * 1024;

    private static final Logger LOG = LogManager.getLogger(ConsoleHandler.class);
    private static final Map<String, String> SECURITY_HEADERS = Map.of(
            "Content-Security-Policy",
            "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'",
            "X-Content-Type-Options",
            "nosniff",
            "X-Frame-Options",
            "DENY",
            "Referrer-Policy",
            "same-origin",
            "Cross-Origin-Opener-Policy",
            "same-origin",
            "Strict-Transport-Security",
            "max-age=31536000",
            "Cache-Control",
            "no-store");

    private final Console console;
    private final LongSupplier wallClock;
    private final FormParserFactory parsers = FormParserFactory.builder(false)
            .addParser(new FormEncodedDataDefinition().setDefaultEncoding("UTF-8"))
            .build();

    /**
     * Creates a handler.
     *
     * @param settings the operators and the session secret, not null
     * @param store the platform's store, not null
     * @param random the source of keys and session ids, not null
     * @param wallClock the wall-clock time, in milliseconds since 1970, not null
     */
    public ConsoleHandler(ConsoleSettings settings, KeyValueStore store, SecureRandom random, LongSupplier wallClock) {
        Arguments.notNull(random, "random");
        this.console = new Console(Arguments.notNull(settings, "settings"), new BlockingStoreClient(store), random);
        this.wallClock = Arguments.notNull(wallClock, "wallClock");
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (exchange.isInIoThread()) {
            exchange.dispatch(this);
            return;
        }
        send(exchange, respond(exchange));
    }

    private ConsoleResponse respond(HttpServerExchange exchange) {
        String method = exchange.getRequestMethod().toString();
        if (!List.of("GET", "HEAD", "POST").contains(method)) {
            return console.errorResponse(ErrorKind.METHOD_NOT_ALLOWED, "The console accepts GET and POST.");
        }
        try {
            return console.handle(request(exchange, method), wallClock.getAsLong());
        } catch (RequestTooBigException e) {
            // The rest of the body is not read, so the connection cannot be reused.
            exchange.setPersistent(false);
            return console.errorResponse(
                    ErrorKind.PAYLOAD_TOO_LARGE,
                    "The form exceeds " + MAX_FORM_BYTES + " bytes. Nothing was changed. "
                            + "Large changes can be published with the command line.");
        } catch (IOException | IllegalArgumentException | IllegalStateException e) {
            LOG.info("[console] malformed request: {}", e.toString());
            return console.errorResponse(ErrorKind.BAD_REQUEST, "The form cannot be read. Nothing was changed.");
        }
    }

    private ConsoleRequest request(HttpServerExchange exchange, String method) throws IOException {
        Map<String, List<String>> fields = new LinkedHashMap<>();
        if (method.equals("POST")) {
            FormData data = form(exchange);
            data.forEach(name -> fields.put(
                    name,
                    data.get(name).stream().map(FormData.FormValue::getValue).toList()));
        } else {
            exchange.getQueryParameters().forEach((name, values) -> fields.put(name, List.copyOf(values)));
        }
        Cookie cookie = exchange.getRequestCookie(SESSION_COOKIE_NAME);
        return new ConsoleRequest(
                method,
                exchange.getRequestPath(),
                fields,
                cookie == null ? null : cookie.getValue(),
                exchange.getSourceAddress().getAddress().getHostAddress(),
                isCrossSite(exchange));
    }

    private FormData form(HttpServerExchange exchange) throws IOException {
        if (exchange.getRequestContentLength() > MAX_FORM_BYTES) {
            throw new RequestTooBigException();
        }
        exchange.setMaxEntitySize(MAX_FORM_BYTES);
        exchange.startBlocking();
        FormDataParser parser = parsers.createParser(exchange);
        if (parser == null) {
            throw new IOException("the content type is not that of a form");
        }
        try {
            return parser.parseBlocking();
        } catch (RuntimeException e) {
            // The parser wraps the exception for too many fields in an unchecked exception.
            throw new IOException("the form cannot be parsed: " + e.getMessage(), e);
        }
    }

    private static boolean isCrossSite(HttpServerExchange exchange) {
        String origin = exchange.getRequestHeaders().getFirst(Headers.ORIGIN);
        if (origin == null) {
            return false;
        }
        String host = exchange.getRequestHeaders().getFirst(Headers.HOST);
        try {
            String authority = URI.create(origin).getRawAuthority();
            return authority == null || !authority.equals(host);
        } catch (IllegalArgumentException e) {
            return true;
        }
    }

    private static void send(HttpServerExchange exchange, ConsoleResponse response) {
        SECURITY_HEADERS.forEach(
                (name, value) -> exchange.getResponseHeaders().put(HttpString.tryFromString(name), value));
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, response.contentType());
        if (response.location() != null) {
            exchange.getResponseHeaders().put(Headers.LOCATION, response.location());
        }
        if (response.cookie() != null) {
            exchange.setResponseCookie(cookie(response.cookie()));
        }
        exchange.setStatusCode(response.status());
        exchange.getResponseSender().send(response.body());
    }

    private static Cookie cookie(String value) {
        Cookie cookie = new CookieImpl(SESSION_COOKIE_NAME, value)
                .setPath("/")
                .setSecure(true)
                .setHttpOnly(true)
                .setSameSite(true)
                .setSameSiteMode("Strict");
        return value.isEmpty() ? cookie.setMaxAge(0) : cookie;
    }
}
