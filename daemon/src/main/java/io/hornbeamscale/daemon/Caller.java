package io.hornbeamscale.daemon;

import io.hornbeamscale.core.entry.EntryAction;
import io.hornbeamscale.core.id.RequestId;
import java.util.LinkedHashMap;
import java.util.Map;

/** A caller that waits for a response. Used on the control thread. */
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
        begin();
        exchange.write(Responses.tokenEvents(a.id(), a.texts(), model), false);
    }

    void restart(EntryAction.Restart a) {
        begin();
        exchange.write(Responses.restartEvent(a.lost()), false);
    }

    void finish(EntryAction.Finish a) {
        if (isStreaming) {
            begin();
            exchange.write(Responses.endEvents(a.id(), a.finishReason(), model), true);
        } else {
            byte[] body = Responses.whole(a.id(), a.texts(), a.finishReason(), model, promptTokens);
            exchange.respond(200, headers("application/json"), body);
        }
    }

    void answer(EntryAction.Answer a) {
        Map<String, String> headers = new LinkedHashMap<>(HeaderRules.ofResponse(a.headers()));
        headers.put("x-request-id", id.value());
        exchange.respond(a.status(), headers, a.body().bytes());
    }

    void fail(EntryAction.Fail a, int status) {
        String message = ErrorTexts.of(a.kind());
        if (exchange.isStarted()) {
            exchange.write(Responses.errorEvent(a.kind(), a.outcome(), message, id, a.offset()), true);
        } else {
            exchange.respond(
                    status,
                    Responses.errorHeaders(a.kind(), a.retryAfterMillis(), id),
                    Responses.error(a.kind(), a.outcome(), message, id));
        }
    }

    private void begin() {
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
