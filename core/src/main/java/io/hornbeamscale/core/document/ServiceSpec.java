package io.hornbeamscale.core.document;

import java.util.List;

/**
 * A service that customers call. Null lists and texts become empty.
 *
 * @param name the name, unique among services
 * @param kind the kind of the service
 * @param models names of the models that the service offers; empty for plain services
 * @param nonIdempotent for plain services, methods and path prefixes of calls that must not be repeated, such as
 *     {@code POST /bookings}
 * @param deduplicatesKeys whether the backend servers deduplicate calls by idempotency key themselves
 */
public record ServiceSpec(
        @FieldRule(meaning = "name, unique among services") String name,

        @FieldRule(meaning = "whether requests run on model engines or pass through to plain HTTP services")
        ServiceKind kind,

        @FieldRule(
                meaning = "models that the service offers; at least one for a model service, none for a plain one",
                format = TextFormat.MODEL_NAME,
                optional = true)
        List<String> models,

        @FieldRule(
                meaning = "calls of a plain service that must not be repeated, as method and path prefix",
                format = TextFormat.CALL,
                optional = true)
        List<String> nonIdempotent,

        @FieldRule(
                meaning = "whether the backend servers deduplicate calls by idempotency key themselves",
                optional = true)
        boolean deduplicatesKeys)
        implements Entity {
    /** Copies the lists and replaces null by empty. */
    public ServiceSpec {
        name = NullToEmpty.text(name);
        models = NullToEmpty.list(models);
        nonIdempotent = NullToEmpty.list(nonIdempotent);
    }
}
