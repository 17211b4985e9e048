package io.hornbeamscale.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.work.BackendCall;
import io.hornbeamscale.core.work.Payload;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.xnio.XnioWorker;

/** Runs calls on the backend server beside an agent. */
final class EngineClient {
    /** The greatest body of a plain response; it must fit into one frame with its headers. */
    static final int MAX_ANSWER_BYTES = 960 * 1024;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final byte[] NO_BODY = new byte[0];

    private final HttpCaller http;
    private final EngineCalls calls;
    private final Map<GenerationId, HttpCall> open = new ConcurrentHashMap<>();

    EngineClient(URI server, XnioWorker worker, EngineCalls calls) {
        this.http = new HttpCaller(server, worker);
        this.calls = calls;
    }

    /** Starts a generation; its tokens are streamed. The tag comes back in the engine's list of streams. */
    void generate(GenerationId generation, String tag, BackendCall call) {
        Map<String, String> headers = new LinkedHashMap<>(call.headers());
        headers.put("X-Request-Id", tag);
        put(
                generation,
                http.call(call.method(), call.path(), headers, call.body().bytes(), false, new Stream(generation)));
    }

    /** Reads a generation again from an offset. */
    void reattach(GenerationId generation, String engineId, long offset) {
        String path = "/v1/streams/" + engineId + "?from=" + offset;
        put(generation, http.call("GET", path, Map.of(), NO_BODY, true, new Stream(generation)));
    }

    /** Runs a plain call. */
    void plain(GenerationId generation, BackendCall call, boolean isRepeatable) {
        put(
                generation,
                http.call(
                        call.method(),
                        call.path(),
                        call.headers(),
                        call.body().bytes(),
                        isRepeatable,
                        new Whole(generation)));
    }

    /** Cancels a call: closes its connection and, for a generation, tells the engine. */
    void cancel(GenerationId generation, String engineId) {
        HttpCall call = open.remove(generation);
        if (call != null) {
            call.close();
        }
        if (engineId != null) {
            http.call("DELETE", "/v1/streams/" + engineId, Map.of(), NO_BODY, true, new Json(node -> {}));
        }
    }

    /** Reads JSON; the consumer receives null if the engine does not answer with status 200. */
    void get(String path, Consumer<JsonNode> consumer) {
        http.call("GET", path, Map.of(), NO_BODY, true, new Json(consumer));
    }

    private void put(GenerationId generation, HttpCall call) {
        HttpCall previous = open.put(generation, call);
        if (previous != null) {
            previous.close();
        }
        if (call.isClosed()) {
            open.remove(generation, call);
        }
    }

    private static void append(ByteArrayOutputStream out, ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        out.writeBytes(copy);
    }

    private final class Stream implements HttpCaller.Listener {
        private final GenerationId generation;
        private final EventParser parser = new EventParser(this::event);
        private final List<String> texts = new ArrayList<>();
        private long first = -1;
        private long next;
        private String finishReason = "";
        private int status;
        private boolean isDone;

        Stream(GenerationId generation) {
            this.generation = generation;
        }

        @Override
        public void head(int code, Map<String, String> headers) {
            status = code;
            String id = headers.get("x-stream-id");
            if (id != null) {
                calls.accepted(generation, id);
            }
        }

        @Override
        public void body(ByteBuffer bytes) {
            if (status != 200) {
                return;
            }
            parser.feed(bytes);
            if (!texts.isEmpty()) {
                calls.tokens(generation, first, List.copyOf(texts));
                texts.clear();
                first = -1;
            }
            if (isDone) {
                calls.ended(generation, next, finishReason);
            }
        }

        @Override
        public void complete() {
            open.remove(generation);
            if (status != 200) {
                calls.refused(generation, status);
            } else if (!isDone) {
                calls.broken(generation, "the engine ended its response early");
            }
        }

        @Override
        public void notConnected(IOException e) {
            open.remove(generation);
            calls.notReached(generation);
        }

        @Override
        public void broken(IOException e) {
            open.remove(generation);
            if (!isDone) {
                calls.broken(generation, String.valueOf(e.getMessage()));
            }
        }

        private void event(String id, String data) {
            if (data.equals("[DONE]")) {
                isDone = true;
                return;
            }
            try {
                JsonNode choice = JSON.readTree(data).path("choices").path(0);
                long offset = Long.parseLong(id);
                if (first < 0) {
                    first = offset;
                }
                texts.add(choice.path("text").asText());
                next = offset + 1;
                if (choice.path("finish_reason").isTextual()) {
                    finishReason = choice.path("finish_reason").asText();
                }
            } catch (JsonProcessingException | NumberFormatException e) {
                calls.broken(generation, "the engine sent a malformed event");
            }
        }
    }

    private final class Whole implements HttpCaller.Listener {
        private final GenerationId generation;
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();
        private Map<String, String> headers = Map.of();
        private int status;

        Whole(GenerationId generation) {
            this.generation = generation;
        }

        @Override
        public void head(int code, Map<String, String> found) {
            status = code;
            headers = found;
        }

        @Override
        public void body(ByteBuffer bytes) {
            if (out.size() <= MAX_ANSWER_BYTES) {
                append(out, bytes);
            }
        }

        @Override
        public void complete() {
            open.remove(generation);
            if (out.size() > MAX_ANSWER_BYTES) {
                calls.broken(generation, "the response exceeds " + MAX_ANSWER_BYTES + " bytes");
            } else {
                calls.answered(generation, status, headers, Payload.of(out.toByteArray()));
            }
        }

        @Override
        public void notConnected(IOException e) {
            open.remove(generation);
            calls.notReached(generation);
        }

        @Override
        public void broken(IOException e) {
            open.remove(generation);
            calls.broken(generation, String.valueOf(e.getMessage()));
        }
    }

    private static final class Json implements HttpCaller.Listener {
        private final Consumer<JsonNode> consumer;
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();
        private int status;

        Json(Consumer<JsonNode> consumer) {
            this.consumer = consumer;
        }

        @Override
        public void head(int code, Map<String, String> headers) {
            status = code;
        }

        @Override
        public void body(ByteBuffer bytes) {
            append(out, bytes);
        }

        @Override
        public void complete() {
            try {
                consumer.accept(status == 200 ? JSON.readTree(out.toByteArray()) : null);
            } catch (IOException e) {
                consumer.accept(null);
            }
        }

        @Override
        public void notConnected(IOException e) {
            consumer.accept(null);
        }

        @Override
        public void broken(IOException e) {
            consumer.accept(null);
        }
    }
}
