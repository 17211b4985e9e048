package io.hornbeamscale.core.document;

import java.util.List;

/**
 * A customer and what it may call.
 *
 * @param name the name, unique among customers
 * @param keyHashes lower-case hexadecimal SHA-256 digests of the customer's keys
 * @param services names of the services that the customer may call
 * @param weight the share of the customer when several are backlogged, greater than 0
 * @param requestsPerSecond the limit of requests per second
 * @param tokensPerSecond the limit of prompt and output tokens per second
 */
public record CustomerSpec(
        String name,
        List<String> keyHashes,
        List<String> services,
        double weight,
        double requestsPerSecond,
        double tokensPerSecond) {}
