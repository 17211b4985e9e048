package io.hornbeamscale.core.route;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the greatest size of all headers, in bytes
 * @param maxBodyBytes the greatest size of a body, in bytes
 * @param headerTimeoutMillis how long the headers may take to arrive, in milliseconds
 * @param idleTimeoutMillis how long a connection may stay without a request, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
