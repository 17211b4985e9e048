package io.hornbeamscale.external;

import io.hornbeamscale.core.util.Arguments;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;

/** An HTTP client of the weight store. */
public final class HttpWeightStore implements WeightStore {
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    private final RetryingHttpClient client;

    /**
     * Creates a client.
     *
     * @param io the shared I/O thread, not null
     * @param address the address of the weight store, not null
     * @param policy the timeouts and retry pauses, not null
     */
    public HttpWeightStore(PlatformIo io, InetSocketAddress address, CallPolicy policy) {
        client = new RetryingHttpClient(
                Arguments.notNull(io, "io"),
                Arguments.notNull(address, "address"),
                Arguments.notNull(policy, "policy"));
    }

    @Override
    public CompletionStage<WeightReply> find(String name, String version) {
        String path = "/weights/" + encode(Arguments.notBlank(name, "name")) + "/"
                + encode(Arguments.notBlank(version, "version"));
        return client.call(new HttpRequestSpec("GET", path, "", true, false, "", 0))
                .thenApply(HttpWeightStore::reply);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private static WeightReply reply(HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered answered)) {
            return new WeightReply.NoAnswer();
        }
        return switch (answered.status()) {
            case 200 ->
                new WeightReply.Available(
                        JsonBodies.bodyOf(outcome).path("sizeBytes").asLong());
            case 404 -> new WeightReply.Unknown();
            case 429 ->
                new WeightReply.Throttled(
                        answered.retryAfterMillis() > 0 ? answered.retryAfterMillis() : DEFAULT_RETRY_AFTER_MILLIS);
            default -> new WeightReply.NoAnswer();
        };
    }
}
