package io.hornbeamscale.daemon;

import io.hornbeamscale.core.document.CustomerSpec;
import io.hornbeamscale.core.entry.EntryRequest;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ErrorResponses;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.stream.EventId;
import io.hornbeamscale.gateway.CallerDisconnectDetector;
import io.hornbeamscale.gateway.ControlLoop;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.SameThreadExecutor;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Authenticates callers' requests, checks their size and syntax, and submits them to the entry. Runs on I/O threads.
 */
final class CallerHandler implements HttpHandler {
    private static final Logger LOG = LogManager.getLogger("entry");
    private static final String COMPLETIONS_PATH = "/v1/completions";
    private static final String SERVICES_PREFIX = "/v1/services/";
    /** The colon, the space and the line end that surround a header's name and value. */
    private static final int HEADER_OVERHEAD_BYTES = 4;

    private final EntryDaemon entry;
    private final int maxHeaderBytes;

    CallerHandler(EntryDaemon entry, int maxHeaderBytes) {
        this.entry = entry;
        this.maxHeaderBytes = maxHeaderBytes;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        RequestId id = new RequestId(UUID.randomUUID().toString());
        try {
            RequestReader reader = entry.reader();
            Map<String, String> headers = headers(exchange);
            CustomerSpec customer = reader.authenticate(headers.get("authorization"));
            checkPathAndMethod(exchange);
            exchange.getRequestReceiver().setMaxBufferSize(reader.limits().maxBodyBytes());
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (ex, body) -> accept(ex, id, reader, customer, headers, body),
                            (ex, e) ->
                                    refuse(ex, id, bodyError(e, reader.limits().maxBodyBytes())));
        } catch (ServingException e) {
            refuse(exchange, id, e);
        }
    }

    private void accept(
            HttpServerExchange exchange,
            RequestId id,
            RequestReader reader,
            CustomerSpec customer,
            Map<String, String> headers,
            byte[] body) {
        try {
            long now = ControlLoop.now();
            String path = exchange.getRequestPath();
            String lastEventId = headers.get("last-event-id");
            if (path.equals(COMPLETIONS_PATH) && lastEventId != null) {
                EventId last = eventId(lastEventId);
                dispatch(exchange, () -> entry.resume(id, new CustomerId(customer.name()), last, exchange));
                return;
            }
            EntryRequest request = path.equals(COMPLETIONS_PATH)
                    ? reader.readCompletion(id, customer, headers, body, now)
                    : readPlainCall(exchange, id, reader, customer, headers, body, now);
            dispatch(exchange, () -> entry.submit(request, exchange));
        } catch (ServingException e) {
            refuse(exchange, id, e);
        } catch (RuntimeException e) {
            LOG.error("Reading a request failed.", e);
            refuse(exchange, id, new ServingException(ErrorKind.INTERNAL, "the request could not be read"));
        }
    }

    private static EntryRequest readPlainCall(
            HttpServerExchange exchange,
            RequestId id,
            RequestReader reader,
            CustomerSpec customer,
            Map<String, String> headers,
            byte[] body,
            long now) {
        String rest = exchange.getRequestPath().substring(SERVICES_PREFIX.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        String method = exchange.getRequestMethod().toString();
        return reader.readPlainCall(id, customer, service, method, path, exchange.getQueryString(), headers, body, now);
    }

    private static void dispatch(HttpServerExchange exchange, Runnable task) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            CallerDisconnectDetector.start(exchange);
            task.run();
        });
    }

    private static EventId eventId(String text) {
        try {
            return EventId.parse(text);
        } catch (IllegalArgumentException e) {
            throw new ServingException(
                    ErrorKind.BAD_REQUEST, "the header Last-Event-ID is malformed: " + e.getMessage());
        }
    }

    private static void checkPathAndMethod(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (path.equals(COMPLETIONS_PATH)) {
            if (!exchange.getRequestMethod().toString().equals("POST")) {
                throw new ServingException(ErrorKind.METHOD_NOT_ALLOWED, COMPLETIONS_PATH + " accepts POST only");
            }
        } else if (!path.startsWith(SERVICES_PREFIX) || path.length() == SERVICES_PREFIX.length()) {
            throw new ServingException(ErrorKind.NOT_FOUND, "there is nothing at " + path);
        }
    }

    private Map<String, String> headers(HttpServerExchange exchange) {
        Map<String, String> headers = new LinkedHashMap<>();
        long size = 0;
        for (HeaderValues values : exchange.getRequestHeaders()) {
            String name = values.getHeaderName().toString().toLowerCase(Locale.ROOT);
            String value = String.join(", ", values);
            size += name.length() + value.length() + HEADER_OVERHEAD_BYTES;
            headers.put(name, value);
        }
        if (size > maxHeaderBytes) {
            throw new ServingException(
                    ErrorKind.HEADERS_TOO_LARGE, "the headers have " + size + " bytes; allowed are " + maxHeaderBytes);
        }
        return headers;
    }

    private static ServingException bodyError(Exception e, int limit) {
        if (e instanceof Receiver.RequestToLargeException) {
            return new ServingException(ErrorKind.PAYLOAD_TOO_LARGE, "the body exceeds " + limit + " bytes");
        }
        return new ServingException(ErrorKind.BAD_REQUEST, RunOutcome.NOT_RUN, "the body could not be read", e);
    }

    private void refuse(HttpServerExchange exchange, RequestId id, ServingException e) {
        entry.metrics().countError(e.kind());
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            byte[] body = ResponseFormatter.error(e.kind(), e.outcome(), e.getMessage(), id);
            int status = ErrorResponses.of(e.kind()).httpStatus();
            if (e.kind() == ErrorKind.PAYLOAD_TOO_LARGE || e.kind() == ErrorKind.HEADERS_TOO_LARGE) {
                // The rest of the request is not read, so the connection cannot be reused.
                exchange.setPersistent(false);
            }
            new CallerExchange(exchange).respond(status, ResponseFormatter.errorHeaders(e.kind(), 0, id), body);
        });
    }
}
