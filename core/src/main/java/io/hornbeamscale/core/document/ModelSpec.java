package io.hornbeamscale.core.document;

import java.util.List;

/**
 * A model that engines load. Null lists and texts become empty.
 *
 * @param name the name, unique among models
 * @param version the version to run
 * @param adapters names of the adapters to load with it
 * @param maxOutputTokens the maximum number of output tokens per request
 * @param typicalOutputTokens the prior of the estimate of output lengths, in tokens
 */
public record ModelSpec(
        @FieldRule(meaning = "name as callers write it, unique among models", format = TextFormat.MODEL_NAME)
        String name,

        @FieldRule(meaning = "version that should run; a new one is rolled out gradually", format = TextFormat.VERSION)
        String version,

        @FieldRule(meaning = "adapters to load with the model", format = TextFormat.MODEL_NAME, optional = true)
        List<String> adapters,

        @FieldRule(meaning = "greatest number of output tokens of one request", min = 1, max = 1_000_000)
        int maxOutputTokens,

        @FieldRule(
                meaning = "prior of the length estimate in tokens, at most maxOutputTokens",
                min = 1,
                max = 1_000_000)
        int typicalOutputTokens)
        implements Entity {
    /** Copies the list and replaces null by empty. */
    public ModelSpec {
        name = NullToEmpty.text(name);
        version = NullToEmpty.text(version);
        adapters = NullToEmpty.list(adapters);
    }
}
