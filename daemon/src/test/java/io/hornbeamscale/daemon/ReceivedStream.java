package io.hornbeamscale.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Collects the text, event ids and errors of a streamed response as a caller receives it. */
final class ReceivedStream {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final StringBuilder text = new StringBuilder();
    private final List<String> ids = new ArrayList<>();
    private final List<String> errors = new ArrayList<>();
    private final ServerSentEventParser parser = new ServerSentEventParser(this::event);
    private int tokens;
    private boolean isDone;

    static ReceivedStream parse(String body) {
        ReceivedStream stream = new ReceivedStream();
        stream.feed(body);
        return stream;
    }

    void feed(String body) {
        parser.feed(ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
    }

    String text() {
        return text.toString();
    }

    int tokens() {
        return tokens;
    }

    boolean isDone() {
        return isDone;
    }

    List<String> errors() {
        return errors;
    }

    String lastId() {
        return ids.get(ids.size() - 1);
    }

    private void event(String id, String data) {
        if (data.equals("[DONE]")) {
            isDone = true;
            return;
        }
        if (!parser.type().isEmpty()) {
            errors.add(data);
            return;
        }
        ids.add(id);
        try {
            String piece =
                    JSON.readTree(data).path("choices").path(0).path("text").asText();
            if (!piece.isEmpty()) {
                tokens++;
            }
            text.append(piece);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("malformed event: " + data, e);
        }
    }
}
