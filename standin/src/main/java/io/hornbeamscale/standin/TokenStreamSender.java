package io.hornbeamscale.standin;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Sends the tokens of one stream to one reader as server-sent events. Data is sent on the I/O thread only. */
final class TokenStreamSender implements IoCallback, Runnable {
    private final EngineState state;
    private final EngineStream stream;
    private final HttpServerExchange exchange;
    private int nextOffset;
    private boolean isSending;
    private boolean isDone;

    TokenStreamSender(EngineState state, EngineStream stream, HttpServerExchange exchange, int fromOffset) {
        this.state = state;
        this.stream = stream;
        this.exchange = exchange;
        this.nextOffset = fromOffset;
    }

    /** Registers for tokens and sends a comment, so that the reader gets the stream id before the first token. */
    void start() {
        synchronized (state) {
            stream.addListener(this);
        }
        exchange.getIoThread().execute(() -> {
            isSending = true;
            exchange.getResponseSender().send(": accepted\n\n", this);
        });
    }

    /** Called by the engine after each step and when the stream ends. */
    @Override
    public void run() {
        exchange.getIoThread().execute(this::sendPending);
    }

    private void sendPending() {
        if (isSending || isDone) {
            return;
        }
        String text;
        boolean hasFailed;
        synchronized (state) {
            hasFailed = stream.isAborted || stream.isCancelled;
            text = pendingText();
        }
        if (text.isEmpty()) {
            if (hasFailed) {
                finish();
                FaultInjectingHandler.closeConnection(exchange);
            }
            return;
        }
        isSending = true;
        exchange.getResponseSender().send(text, this);
    }

    private String pendingText() {
        StringBuilder text = new StringBuilder();
        while (nextOffset < stream.emitted) {
            text.append(event(nextOffset));
            nextOffset++;
        }
        if (stream.isComplete() && !stream.isAborted) {
            text.append("data: [DONE]\n\n");
            isDone = true;
        }
        return text.toString();
    }

    private String event(int offset) {
        Map<String, Object> choice = new LinkedHashMap<>();
        choice.put("index", 0);
        choice.put("text", EngineTokens.tokenText(stream.prompt, offset));
        choice.put("finish_reason", offset == stream.maxTokens - 1 ? "length" : null);
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", stream.id);
        body.put("object", "text_completion");
        body.put("choices", List.of(choice));
        return "id: " + offset + "\ndata: " + StandInJson.text(body) + "\n\n";
    }

    @Override
    public void onComplete(HttpServerExchange ex, Sender sender) {
        isSending = false;
        if (isDone) {
            finish();
            sender.close(IoCallback.END_EXCHANGE);
            return;
        }
        run();
    }

    @Override
    public void onException(HttpServerExchange ex, Sender sender, IOException e) {
        finish();
        FaultInjectingHandler.closeConnection(ex);
    }

    private void finish() {
        isDone = true;
        synchronized (state) {
            stream.removeListener(this);
        }
    }
}
