package io.hornbeamscale.daemon;

import io.hornbeamscale.core.entry.EntryAction;
import io.hornbeamscale.core.id.RequestId;
import java.util.LinkedHashMap;
import java.util.Map;

/** A caller with an open request. Its methods send the response; they are used on the control thread. */
final class Caller {
    private final RequestId id;
    private final CallerExchange exchange;
    private final boolean isStreaming;
    private final String model;
    private final int promptTokens;

    Caller(RequestId id, CallerExchange exchange, boolean isStreaming, String model, int promptTokens) {
        this.id = id;
        this.exchange = exchange;
        this.isStreaming = isStreaming;
        this.model = model;
        this.promptTokens = promptTokens;
    }

    void deliver(EntryAction.Deliver a) {
        startStream();
        exchange.write(ResponseFormatter.tokenEvents(a.id(), a.texts(), model), false);
    }

    void restart(EntryAction.Restart a) {
        startStream();
        exchange.write(ResponseFormatter.restartEvent(a.lost()), false);
    }

    void finish(EntryAction.Finish a) {
        if (isStreaming) {
            startStream();
            exchange.write(ResponseFormatter.endEvents(a.id(), a.finishReason(), model), true);
        } else {
            byte[] body = ResponseFormatter.fullCompletion(a.id(), a.texts(), a.finishReason(), model, promptTokens);
            exchange.respond(200, headers("application/json"), body);
        }
    }

    void answer(EntryAction.Answer a) {
        Map<String, String> headers = new LinkedHashMap<>(HeaderFilter.filterResponse(a.headers()));
        headers.put("x-request-id", id.value());
        exchange.respond(a.status(), headers, a.body().bytes());
    }

    void fail(EntryAction.Fail a, int status) {
        String message = ErrorMessages.of(a.kind());
        if (exchange.isStarted()) {
            exchange.write(ResponseFormatter.errorEvent(a.kind(), a.outcome(), message, id, a.offset()), true);
        } else {
            exchange.respond(
                    status,
                    ResponseFormatter.errorHeaders(a.kind(), a.retryAfterMillis(), id),
                    ResponseFormatter.error(a.kind(), a.outcome(), message, id));
        }
    }

    private void startStream() {
        if (!exchange.isStarted()) {
            Map<String, String> headers = headers("text/event-stream");
            headers.put("Cache-Control", "no-cache");
            exchange.start(200, headers);
        }
    }

    private Map<String, String> headers(String type) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", type);
        headers.put("X-Request-Id", id.value());
        return headers;
    }
}
