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

/** The store over HTTP. Reads and lease calls are repeated when an answer is lost; compare-and-swap is not. */
public final class HttpKeyValueStore implements KeyValueStore {
    private static final int STATUS_UNCHANGED = 204;

    private final HttpCaller caller;

    /**
     * Creates a client.
     *
     * @param io the shared I/O thread, not null
     * @param address the address of the store, not null
     * @param policy the time limits, not null
     */
    public HttpKeyValueStore(PlatformIo io, InetSocketAddress address, CallPolicy policy) {
        caller = new HttpCaller(
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
        return caller.call(HttpCall.post("/call", Json.text(fields(call)), isRepeatable))
                .thenApply(outcome -> reply(call.key(), outcome));
    }

    @Override
    public CompletionStage<WatchReply> watch(String key, long afterRevision, long waitMillis) {
        Arguments.notNull(key, "key");
        Arguments.notNegative(waitMillis, "waitMillis");
        String path = "/watch?key=" + URLEncoder.encode(key, StandardCharsets.UTF_8) + "&after=" + afterRevision
                + "&wait=" + waitMillis;
        return caller.call(new HttpCall("GET", path, "", true, true, "", waitMillis))
                .thenApply(outcome -> watchReply(key, outcome));
    }

    static boolean isTooLarge(String value) {
        return value.getBytes(StandardCharsets.UTF_8).length > MAX_VALUE_BYTES;
    }

    private static Map<String, Object> fields(StoreCall call) {
        Map<String, Object> node = new LinkedHashMap<>();
        node.put("key", call.key());
        if (call instanceof StoreCall.CompareAndSwap swap) {
            node.put("op", "cas");
            node.put("expected", swap.expectedRevision());
            node.put("value", swap.value());
        } else if (call instanceof StoreCall.AcquireLease acquire) {
            node.put("op", "acquire");
            node.put("owner", acquire.owner());
            node.put("ttlMillis", acquire.ttlMillis());
        } else if (call instanceof StoreCall.ReleaseLease release) {
            node.put("op", "release");
            node.put("owner", release.owner());
        } else {
            node.put("op", "get");
        }
        return node;
    }

    private static StoreReply reply(String key, HttpOutcome outcome) {
        JsonNode node = Json.bodyOf(outcome);
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
