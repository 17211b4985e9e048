package io.hornbeamscale.core.route;

/**
 * A customer and the terms of its requests.
 *
 * @param name the name of the customer
 * @param priority the priority that overrides the priority of the route, 0 is the most urgent; -1 to use the priority
 *     of the route
 * @param allowedRegions the regions in which its requests may be served, besides those of the route
 */
public record Customer(String name, int priority, AllowedRegions allowedRegions) {
    /**
     * Creates a customer whose requests may be served in every region.
     *
     * @param name the name of the customer
     * @param priority the priority that overrides the priority of the route, 0 is the most urgent; -1 to use the
     *     priority of the route
     */
    public Customer(String name, int priority) {
        this(name, priority, AllowedRegions.ANY);
    }
}
