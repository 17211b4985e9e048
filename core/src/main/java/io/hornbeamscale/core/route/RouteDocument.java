package io.hornbeamscale.core.route;

import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One version of the routes, services, limits and customers that an entry uses. Immutable. */
public final class RouteDocument {
    private final long version;
    private final CallerLimits limits;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, RoutedService> services;
    private final Map<String, Customer> customersByKey;
    private final boolean hasCustomers;

    /**
     * Creates a document.
     *
     * @param version the version; a greater one replaces a smaller one
     * @param routes the routes, not null
     * @param services the services, not null
     * @param limits the limits on callers, not null
     * @param customersByKey the customers by key, with an entry for each key of a customer, not null
     * @param hasCustomers whether requests need a key unless their route is public
     */
    public RouteDocument(
            long version,
            List<Route> routes,
            List<RoutedService> services,
            CallerLimits limits,
            Map<String, Customer> customersByKey,
            boolean hasCustomers) {
        this.version = version;
        this.limits = Arguments.notNull(limits, "limits");
        this.customersByKey = Map.copyOf(customersByKey);
        this.hasCustomers = hasCustomers;
        Map<String, RoutedService> byName = new HashMap<>();
        for (RoutedService service : services) {
            byName.put(service.name(), service);
        }
        this.services = Map.copyOf(byName);
        Map<String, List<Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), k -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.prefix().length()).reversed();
        byHost.replaceAll((host, list) -> list.stream().sorted(longestFirst).toList());
        this.routesByHost = Map.copyOf(byHost);
    }

    /**
     * Returns the version.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits on callers.
     *
     * @return the limits, never null
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns whether requests need a key unless their route is public.
     *
     * @return whether keys are required
     */
    public boolean hasCustomers() {
        return hasCustomers;
    }

    /**
     * Finds the route of a host with the longest prefix that matches a path.
     *
     * @param host the host of the request in any case, with or without a port, may be null
     * @param path the path, not null
     * @return the route, empty if none matches
     */
    public Optional<Route> route(String host, String path) {
        Arguments.notNull(path, "path");
        if (host == null) {
            return Optional.empty();
        }
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        for (Route route : routesByHost.getOrDefault(name, List.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds a customer by one of its keys.
     *
     * @param key the key, may be null
     * @return the customer, empty if no customer has the key
     */
    public Optional<Customer> customer(String key) {
        return key == null ? Optional.empty() : Optional.ofNullable(customersByKey.get(key));
    }

    /**
     * Finds a service.
     *
     * @param name the name, not null
     * @return the service, empty if the document does not contain it
     */
    public Optional<RoutedService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }
}
