package io.hornbeamscale.core.document;

/**
 * A kind of work and its priority. A null name becomes empty.
 *
 * @param name the name, unique among kinds of work; a request names it in the {@code X-Work-Kind} header
 * @param priority the priority from 0 to 9; requests with a higher number start first
 * @param maxWaitMillis how long a request of this kind may wait until it starts, in milliseconds
 */
public record WorkKindSpec(
        @FieldRule(meaning = "name, unique among work kinds, as callers write it in X-Work-Kind")
        String name,

        @FieldRule(meaning = "priority; a greater number goes first", min = 0, max = 9)
        int priority,

        @FieldRule(
                meaning = "how long a request of this kind may wait for a start, in milliseconds",
                min = 1,
                max = 86_400_000)
        long maxWaitMillis)
        implements Entity {
    /** Replaces a null name by an empty one. */
    public WorkKindSpec {
        name = NullToEmpty.text(name);
    }
}
