package io.hornbeamscale.external;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.util.Arguments;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** An HTTP client of the store. Retries reads and lease calls whose response was lost, but not compare-and-swap. */
public final class HttpKeyValueStore implements KeyValueStore {
    private static final int STATUS_UNCHANGED = 204;

    private final RetryingHttpClient client;

    /**
     * Creates a client.
     *
     * @param io the shared I/O thread, not null
     * @param address the address of the store, not null
     * @param policy the timeouts and retry pauses, not null
     */
    public HttpKeyValueStore(PlatformIo io, InetSocketAddress address, CallPolicy policy) {
        client = new RetryingHttpClient(
                Arguments.notNull(io, "io"),
                Arguments.notNull(address, "address"),
                Arguments.notNull(policy, "policy"));
    }

    @Override
    public CompletionStage<StoreReply> execute(StoreCall call) {
        Arguments.notNull(call, "call");
        if (call instanceof StoreCall.CompareAndSwap swap && isTooLarge(swap.value())) {
            return CompletableFuture.failedFuture(new ServingException(
                    ErrorKind.PAYLOAD_TOO_LARGE,
                    "the value of " + call.key() + " exceeds " + MAX_VALUE_BYTES + " bytes"));
        }
        boolean isRepeatable = !(call instanceof StoreCall.CompareAndSwap);
        return client.call(HttpRequestSpec.post("/call", JsonBodies.encode(fields(call)), isRepeatable))
                .thenApply(outcome -> reply(call.key(), outcome));
    }

    @Override
    public CompletionStage<WatchReply> watch(String key, long afterRevision, long waitMillis) {
        Arguments.notNull(key, "key");
        Arguments.notNegative(waitMillis, "waitMillis");
        String path = "/watch?key=" + URLEncoder.encode(key, StandardCharsets.UTF_8) + "&after=" + afterRevision
                + "&wait=" + waitMillis;
        return client.call(new HttpRequestSpec("GET", path, "", true, true, "", waitMillis))
                .thenApply(outcome -> watchReply(key, outcome));
    }

    static boolean isTooLarge(String value) {
        return value.getBytes(StandardCharsets.UTF_8).length > MAX_VALUE_BYTES;
    }

    private static Map<String, Object> fields(StoreCall call) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("key", call.key());
        if (call instanceof StoreCall.CompareAndSwap swap) {
            fields.put("op", "cas");
            fields.put("expected", swap.expectedRevision());
            fields.put("value", swap.value());
        } else if (call instanceof StoreCall.AcquireLease acquire) {
            fields.put("op", "acquire");
            fields.put("owner", acquire.owner());
            fields.put("ttlMillis", acquire.ttlMillis());
        } else if (call instanceof StoreCall.ReleaseLease release) {
            fields.put("op", "release");
            fields.put("owner", release.owner());
        } else {
            fields.put("op", "get");
        }
        return fields;
    }

    private static StoreReply reply(String key, HttpOutcome outcome) {
        JsonNode node = JsonBodies.bodyOf(outcome);
        return switch (node.path("reply").asText()) {
            case "found" ->
                new StoreReply.Found(
                        key, node.path("revision").asLong(), node.path("value").asText());
            case "missing" -> new StoreReply.Missing(key);
            case "swapped" -> new StoreReply.Swapped(key, node.path("revision").asLong());
            case "conflict" ->
                new StoreReply.Conflict(key, node.path("revision").asLong());
            case "leased" ->
                new StoreReply.Leased(
                        key, node.path("fence").asLong(), node.path("ttlMillis").asLong());
            default -> new StoreReply.NoAnswer(key);
        };
    }

    private static WatchReply watchReply(String key, HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.Answered answered && answered.status() == STATUS_UNCHANGED) {
            return new WatchReply.Unchanged(key);
        }
        if (reply(key, outcome) instanceof StoreReply.Found found) {
            return new WatchReply.Changed(key, found.revision(), found.value());
        }
        return new WatchReply.NoAnswer(key);
    }
}
