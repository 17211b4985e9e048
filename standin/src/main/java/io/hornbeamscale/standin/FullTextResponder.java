package io.hornbeamscale.standin;

import io.undertow.server.HttpServerExchange;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Sends the full text as one response when the generation has ended. */
final class FullTextResponder implements Runnable {
    private final EngineState state;
    private final EngineStream stream;
    private final HttpServerExchange exchange;
    private final FaultInjectingHandler handler;

    FullTextResponder(
            EngineState state, EngineStream stream, HttpServerExchange exchange, FaultInjectingHandler handler) {
        this.state = state;
        this.stream = stream;
        this.exchange = exchange;
        this.handler = handler;
    }

    void start() {
        synchronized (state) {
            stream.addListener(this);
        }
        run();
    }

    @Override
    public void run() {
        synchronized (state) {
            if (!stream.hasEnded() || !stream.listeners().contains(this)) {
                return;
            }
            stream.removeListener(this);
        }
        exchange.getIoThread().execute(this::respond);
    }

    private void respond() {
        if (!stream.isComplete()) {
            FaultInjectingHandler.closeConnection(exchange);
            return;
        }
        Map<String, Object> choice = new LinkedHashMap<>();
        choice.put("index", 0);
        choice.put("text", EngineTokens.fullText(stream.prompt, stream.maxTokens));
        choice.put("finish_reason", "length");
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", stream.id);
        body.put("object", "text_completion");
        body.put("choices", List.of(choice));
        body.put("usage", Map.of("prompt_tokens", stream.promptTokens, "completion_tokens", stream.maxTokens));
        handler.deliver(
                exchange,
                new StandInResponse(
                        200,
                        Map.of(
                                "Content-Type",
                                "application/json",
                                "X-Stream-Id",
                                stream.id,
                                "X-Request-Id",
                                stream.requestId),
                        StandInJson.text(body)));
    }
}
