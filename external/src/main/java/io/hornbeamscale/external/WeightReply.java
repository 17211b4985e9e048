package io.hornbeamscale.external;

/** The reply of the weight store. */
public sealed interface WeightReply {
    /**
     * The weights exist.
     *
     * @param sizeBytes their size, in bytes
     */
    record Available(long sizeBytes) implements WeightReply {}

    /** The weight store has no weights for the version. */
    record Unknown() implements WeightReply {}

    /**
     * The rate limit was exceeded.
     *
     * @param retryAfterMillis how long to wait before another call, in milliseconds
     */
    record Throttled(long retryAfterMillis) implements WeightReply {}

    /** The weight store did not respond before the call timed out. */
    record NoAnswer() implements WeightReply {}
}
