package io.hornbeamscale.core.document;

import java.util.List;

/**
 * A customer and what it may call. Null lists and texts become empty.
 *
 * @param name the name, unique among customers
 * @param keyHashes lower-case hexadecimal SHA-256 digests of the customer's keys
 * @param services names of the services that the customer may call
 * @param weight the relative share of capacity while several customers have requests waiting, greater than 0
 * @param requestsPerSecond the rate limit in requests per second over all entries
 * @param tokensPerSecond the rate limit in prompt and output tokens per second over all entries
 */
public record CustomerSpec(
        @FieldRule(meaning = "name, unique among customers") String name,

        @FieldRule(
                meaning = "SHA-256 digests of the customer's keys; several while a key is replaced",
                format = TextFormat.DIGEST,
                maxItems = 8,
                optional = true)
        List<String> keyHashes,

        @FieldRule(meaning = "services that the customer may call", optional = true)
        List<String> services,

        @FieldRule(meaning = "share of the customer when several are backlogged", min = 0.001, max = 1000)
        double weight,

        @FieldRule(meaning = "limit of requests per second over all entries", min = 0.001, max = 1e6)
        double requestsPerSecond,

        @FieldRule(meaning = "limit of prompt and output tokens per second over all entries", min = 0.001, max = 1e9)
        double tokensPerSecond)
        implements Entity {
    /** Copies the lists and replaces null by empty. */
    public CustomerSpec {
        name = NullToEmpty.text(name);
        keyHashes = NullToEmpty.list(keyHashes);
        services = NullToEmpty.list(services);
    }
}
