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

/** Runs an agent's calls on its backend server, an engine or a plain service. */
final class EngineClient {
    /** The maximum size of the body of a plain response, which must fit into one frame together with its headers. */
    static final int MAX_RESPONSE_BYTES = 960 * 1024;

    /** The maximum size of an incomplete event of a stream, in bytes. */
    private static final int MAX_EVENT_BYTES = 256 * 1024;

    /** The maximum size of the body of an error response of an engine, in bytes; it is not used. */
    private static final int MAX_ERROR_BYTES = 64 * 1024;

    /** The maximum size of a response to the agent's own calls, in bytes. */
    private static final int MAX_JSON_BYTES = 1024 * 1024;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final byte[] NO_BODY = new byte[0];

    private final BackendHttpClient http;
    private final EngineCallListener listener;
    private final Map<GenerationId, BackendHttpCall> openCalls = new ConcurrentHashMap<>();

    EngineClient(URI server, XnioWorker worker, EngineCallListener listener) {
        this.http = new BackendHttpClient(server, worker);
        this.listener = listener;
    }

    /**
     * Starts a generation, whose tokens are streamed. The tag appears as request id in the engine's list of streams.
     */
    void startGeneration(GenerationId generation, String tag, BackendCall call) {
        Map<String, String> headers = new LinkedHashMap<>(call.headers());
        headers.put("X-Request-Id", tag);
        register(
                generation,
                http.call(
                        call.method(),
                        call.path(),
                        headers,
                        call.body().bytes(),
                        false,
                        new StreamListener(generation)));
    }

    /** Reattaches to the stream of a running generation and reads it from an offset. */
    void reattach(GenerationId generation, String engineId, long offset) {
        String path = "/v1/streams/" + engineId + "?from=" + offset;
        register(generation, http.call("GET", path, Map.of(), NO_BODY, false, new StreamListener(generation)));
    }

    /** Starts a call on a plain service. */
    void startPlainCall(GenerationId generation, BackendCall call) {
        register(
                generation,
                http.call(
                        call.method(),
                        call.path(),
                        call.headers(),
                        call.body().bytes(),
                        false,
                        new PlainResponseListener(generation)));
    }

    /** Cancels a call: closes its connection and, for a generation, tells the engine. */
    void cancel(GenerationId generation, String engineId) {
        BackendHttpCall call = openCalls.remove(generation);
        if (call != null) {
            call.close();
        }
        if (engineId != null) {
            http.call("DELETE", "/v1/streams/" + engineId, Map.of(), NO_BODY, true, new JsonListener(node -> {}));
        }
    }

    /** Fetches JSON; the consumer receives null if there is no response with status 200 and valid JSON. */
    void getJson(String path, Consumer<JsonNode> consumer) {
        http.call("GET", path, Map.of(), NO_BODY, true, new JsonListener(consumer));
    }

    private void register(GenerationId generation, BackendHttpCall call) {
        BackendHttpCall previous = openCalls.put(generation, call);
        if (previous != null) {
            previous.close();
        }
        if (call.isClosed()) {
            openCalls.remove(generation, call);
        }
    }

    /** Adds bytes unless there would be too many; returns whether they were added. */
    private static boolean append(ByteArrayOutputStream out, ByteBuffer bytes, int maxBytes) {
        if (out.size() + bytes.remaining() > maxBytes) {
            return false;
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        out.writeBytes(copy);
        return true;
    }

    private final class StreamListener implements BackendHttpClient.Listener {
        private final GenerationId generation;
        private final ServerSentEventParser parser = new ServerSentEventParser(this::event);
        private final List<String> texts = new ArrayList<>();
        private long firstOffset = -1;
        private long nextOffset;
        private String finishReason = "";
        private Map<String, String> headers = Map.of();
        private int status;
        private int errorBytes;
        private boolean isDone;
        private boolean isMalformed;

        StreamListener(GenerationId generation) {
            this.generation = generation;
        }

        @Override
        public void head(int code, Map<String, String> received) {
            status = code;
            headers = received;
            String id = headers.get("x-stream-id");
            if (id != null) {
                listener.accepted(generation, id);
            }
        }

        @Override
        public boolean body(ByteBuffer bytes) {
            if (status != 200) {
                errorBytes += bytes.remaining();
                return errorBytes <= MAX_ERROR_BYTES;
            }
            if (isDone) {
                // Nothing follows the end of a generation.
                return false;
            }
            parser.feed(bytes);
            if (!texts.isEmpty()) {
                listener.tokens(generation, firstOffset, List.copyOf(texts));
                texts.clear();
                firstOffset = -1;
            }
            if (isDone) {
                listener.ended(generation, nextOffset, finishReason);
            }
            return !isMalformed && parser.pendingBytes() <= MAX_EVENT_BYTES;
        }

        @Override
        public void complete() {
            openCalls.remove(generation);
            if (status != 200) {
                listener.refused(generation, status, headers);
            } else if (!isDone) {
                listener.failed(
                        generation, EngineCallListener.Failure.BROKEN_OFF, "the engine ended its response early");
            }
        }

        @Override
        public void notConnected(IOException e) {
            openCalls.remove(generation);
            listener.backendNotReached(generation);
        }

        @Override
        public void failed(IOException e) {
            openCalls.remove(generation);
            if (!isDone) {
                listener.failed(generation, EngineCallListener.Failure.of(e), String.valueOf(e.getMessage()));
            }
        }

        private void event(String id, String data) {
            if (data.equals("[DONE]")) {
                isDone = !isMalformed;
                return;
            }
            if (isMalformed) {
                return;
            }
            try {
                JsonNode choice = JSON.readTree(data).path("choices").path(0);
                long offset = Long.parseLong(id);
                if (firstOffset < 0) {
                    firstOffset = offset;
                }
                texts.add(choice.path("text").asText());
                nextOffset = offset + 1;
                if (choice.path("finish_reason").isTextual()) {
                    finishReason = choice.path("finish_reason").asText();
                }
            } catch (JsonProcessingException | NumberFormatException e) {
                isMalformed = true;
            }
        }
    }

    private final class PlainResponseListener implements BackendHttpClient.Listener {
        private final GenerationId generation;
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();
        private Map<String, String> headers = Map.of();
        private int status;

        PlainResponseListener(GenerationId generation) {
            this.generation = generation;
        }

        @Override
        public void head(int code, Map<String, String> received) {
            status = code;
            headers = received;
        }

        @Override
        public boolean body(ByteBuffer bytes) {
            return append(out, bytes, MAX_RESPONSE_BYTES);
        }

        @Override
        public void complete() {
            openCalls.remove(generation);
            listener.answered(generation, status, headers, Payload.of(out.toByteArray()));
        }

        @Override
        public void notConnected(IOException e) {
            openCalls.remove(generation);
            listener.backendNotReached(generation);
        }

        @Override
        public void failed(IOException e) {
            openCalls.remove(generation);
            listener.failed(generation, EngineCallListener.Failure.of(e), String.valueOf(e.getMessage()));
        }
    }

    private static final class JsonListener implements BackendHttpClient.Listener {
        private final Consumer<JsonNode> consumer;
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();
        private int status;

        JsonListener(Consumer<JsonNode> consumer) {
            this.consumer = consumer;
        }

        @Override
        public void head(int code, Map<String, String> headers) {
            status = code;
        }

        @Override
        public boolean body(ByteBuffer bytes) {
            return append(out, bytes, MAX_JSON_BYTES);
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
        public void failed(IOException e) {
            consumer.accept(null);
        }
    }
}
