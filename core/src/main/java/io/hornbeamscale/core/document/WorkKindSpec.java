package io.hornbeamscale.core.document;

/**
 * A kind of work and its priority.
 *
 * @param name the name, unique among kinds; a request names it in the {@code X-Work-Kind} header
 * @param priority the priority from 0 to 9; a greater number goes first
 * @param maxWaitMillis how long a request of this kind may wait for a start, in milliseconds
 */
public record WorkKindSpec(String name, int priority, long maxWaitMillis) {}
