package io.hornbeamscale.core.document;

import java.util.List;

/**
 * A service that customers call.
 *
 * @param name the name, unique among services
 * @param kind the kind of the service
 * @param models names of the models that the service offers; empty for plain services
 * @param nonIdempotent for plain services, method and path prefix of calls that must not be repeated, such as
 *     {@code POST /bookings}
 * @param deduplicatesKeys whether the backend servers deduplicate calls by idempotency key themselves
 */
public record ServiceSpec(
        String name, ServiceKind kind, List<String> models, List<String> nonIdempotent, boolean deduplicatesKeys) {}
