package io.hornbeamscale.core.route;

import java.util.Optional;

/**
 * A service of backend servers.
 *
 * @param name the name, unique in a document
 * @param maxConnections how many connections one backend server accepts from all entries
 * @param engine the model engine, empty for a plain service
 */
public record RoutedService(String name, int maxConnections, Optional<EngineSpec> engine) {}
