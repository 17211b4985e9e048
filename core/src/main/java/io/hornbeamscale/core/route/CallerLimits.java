package io.hornbeamscale.core.route;

/**
 * Limits on what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the maximum total size of the headers, in bytes
 * @param maxBodyBytes the maximum size of a body, in bytes
 * @param headerTimeoutMillis how long the headers may take to arrive, in milliseconds
 * @param idleTimeoutMillis how long a connection may stay idle, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
