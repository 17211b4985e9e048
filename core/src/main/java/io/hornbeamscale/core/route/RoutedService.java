package io.hornbeamscale.core.route;

import java.util.Optional;

/**
 * A service that routes refer to, with the properties that its backend servers share.
 *
 * @param name the name, unique in a document
 * @param maxConnections the maximum number of connections that one backend server accepts from all entries
 * @param engine the model engine, empty for a plain service
 * @param coldRequestsPerSecond the requests per second that one cold backend server bears from all entries, 0 if a cold
 *     server bears any rate
 */
public record RoutedService(
        String name, int maxConnections, Optional<EngineSpec> engine, double coldRequestsPerSecond) {
    /**
     * Creates a service whose cold servers bear any rate.
     *
     * @param name the name, unique in a document
     * @param maxConnections the maximum number of connections that one backend server accepts from all entries
     * @param engine the model engine, empty for a plain service
     */
    public RoutedService(String name, int maxConnections, Optional<EngineSpec> engine) {
        this(name, maxConnections, engine, 0);
    }
}
