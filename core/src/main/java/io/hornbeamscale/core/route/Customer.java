package io.hornbeamscale.core.route;

/**
 * A customer and the rank of its requests.
 *
 * @param name the name
 * @param priority the rank that replaces the route's, 0 is the most urgent, -1 if the route's applies
 */
public record Customer(String name, int priority) {}
