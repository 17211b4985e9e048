package io.hornbeamscale.core.route;

/**
 * A customer and the priority of its requests.
 *
 * @param name the name of the customer
 * @param priority the priority that overrides the priority of the route, 0 is the most urgent; -1 to use the priority
 *     of the route
 */
public record Customer(String name, int priority) {}
