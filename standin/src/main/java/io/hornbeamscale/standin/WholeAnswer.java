package io.hornbeamscale.standin;

import io.undertow.server.HttpServerExchange;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Answers one request with the whole text once its generation has ended. */
final class WholeAnswer implements Runnable {
    private final EngineState state;
    private final EngineStream stream;
    private final HttpServerExchange exchange;
    private final FaultFlow flow;

    WholeAnswer(EngineState state, EngineStream stream, HttpServerExchange exchange, FaultFlow flow) {
        this.state = state;
        this.stream = stream;
        this.exchange = exchange;
        this.flow = flow;
    }

    void start() {
        synchronized (state) {
            stream.listen(this);
        }
        run();
    }

    @Override
    public void run() {
        synchronized (state) {
            if (!stream.hasEnded() || !stream.listeners().contains(this)) {
                return;
            }
            stream.unlisten(this);
        }
        exchange.getIoThread().execute(this::answer);
    }

    private void answer() {
        if (!stream.isComplete()) {
            FaultFlow.drop(exchange);
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
        flow.deliver(
                exchange,
                new Answer(
                        200,
                        Map.of(
                                "Content-Type",
                                "application/json",
                                "X-Stream-Id",
                                stream.id,
                                "X-Request-Id",
                                stream.requestId),
                        Json.text(body)));
    }
}
