package io.hornbeamscale.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ErrorResponse;
import io.hornbeamscale.core.error.ErrorResponses;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.stream.EventId;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Formats the response bodies, events and headers that callers receive. */
final class ResponseFormatter {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    private ResponseFormatter() {}

    /** Returns the body of an error response. */
    static byte[] error(ErrorKind kind, RunOutcome outcome, String message, RequestId request) {
        return json(Map.of("error", errorFields(kind, outcome, message, request)));
    }

    /** Returns the event that ends a stream with an error. */
    static byte[] errorEvent(ErrorKind kind, RunOutcome outcome, String message, RequestId request, long offset) {
        Map<String, Object> fields = errorFields(kind, outcome, message, request);
        fields.put("offset", offset);
        return utf8("event: error\ndata: " + text(Map.of("error", fields)) + "\n\n");
    }

    /**
     * Returns the headers of an error response. The pause before a retry is rounded up to whole seconds, at least 1,
     * and appears only for kinds that may be retried.
     */
    static Map<String, String> errorHeaders(ErrorKind kind, long retryAfterMillis, RequestId request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "application/json");
        headers.put("X-Request-Id", request.value());
        ErrorResponse response = ErrorResponses.of(kind);
        if (response.isRetryable()) {
            long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            headers.put("Retry-After", Long.toString(Math.max(1, seconds)));
        }
        if (kind == ErrorKind.UNAUTHORIZED) {
            headers.put("WWW-Authenticate", "Bearer");
        }
        return headers;
    }

    /**
     * Returns one event for each token.
     *
     * @param last the event id of the last token
     * @param texts the texts of the tokens, in order
     * @param model the name of the model
     */
    static byte[] tokenEvents(EventId last, List<String> texts, String model) {
        StringBuilder out = new StringBuilder(texts.size() * 160);
        long offset = last.offset() - texts.size();
        String generation = last.generation().toString();
        for (String text : texts) {
            offset++;
            out.append("id: ").append(generation).append(':').append(offset);
            out.append("\ndata: {\"id\":\"").append(generation);
            out.append("\",\"object\":\"text_completion\",\"model\":\"");
            JsonStringEncoder.getInstance().quoteAsString(model, out);
            out.append("\",\"choices\":[{\"index\":0,\"text\":\"");
            JsonStringEncoder.getInstance().quoteAsString(text, out);
            out.append("\",\"finish_reason\":null}]}\n\n");
        }
        return utf8(out.toString());
    }

    /** Returns the events that end a complete stream. */
    static byte[] endEvents(EventId end, String finishReason, String model) {
        Map<String, Object> choice = new LinkedHashMap<>();
        choice.put("index", 0);
        choice.put("text", "");
        choice.put("finish_reason", finishReason);
        String body = text(completionFields(end, model, choice));
        return utf8("id: " + end + "\ndata: " + body + "\n\ndata: [DONE]\n\n");
    }

    /** Returns the event that announces a restart of the response with a new generation. */
    static byte[] restartEvent(EventId lost) {
        return utf8("event: restart\ndata: " + text(Map.of("lost", lost.toString())) + "\n\n");
    }

    /** Returns the body of a complete response that is not streamed. */
    static byte[] fullCompletion(EventId end, List<String> texts, String finishReason, String model, int promptTokens) {
        Map<String, Object> choice = new LinkedHashMap<>();
        choice.put("index", 0);
        choice.put("text", String.join("", texts));
        choice.put("finish_reason", finishReason);
        Map<String, Object> body = completionFields(end, model, choice);
        Map<String, Object> usage = new LinkedHashMap<>();
        usage.put("prompt_tokens", promptTokens);
        usage.put("completion_tokens", end.offset());
        usage.put("total_tokens", promptTokens + end.offset());
        body.put("usage", usage);
        return json(body);
    }

    private static Map<String, Object> completionFields(EventId end, String model, Map<String, Object> choice) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", end.generation().toString());
        body.put("object", "text_completion");
        body.put("model", model);
        body.put("choices", List.of(choice));
        return body;
    }

    private static Map<String, Object> errorFields(
            ErrorKind kind, RunOutcome outcome, String message, RequestId request) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("code", kind.code());
        fields.put("message", message);
        fields.put("outcome", outcome.code());
        fields.put("request_id", request.value());
        return fields;
    }

    private static byte[] json(Map<String, Object> body) {
        return utf8(text(body));
    }

    private static String text(Map<String, Object> body) {
        try {
            return JSON.writeValueAsString(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write JSON", e);
        }
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
