package io.hornbeamscale.core.route;

import java.util.Optional;

/**
 * A service that routes refer to, with the properties that its backend servers share.
 *
 * @param name the name, unique in a document
 * @param maxConnections the maximum number of connections that one backend server accepts from all entries
 * @param engine the model engine, empty for a plain service
 */
public record RoutedService(String name, int maxConnections, Optional<EngineSpec> engine) {}
