package io.hornbeamscale.external;

/** The reply of the weight store. */
public sealed interface WeightReply {
    /**
     * The weights exist.
     *
     * @param sizeBytes their size, in bytes
     */
    record Available(long sizeBytes) implements WeightReply {}

    /** The version is unknown. */
    record Unknown() implements WeightReply {}

    /**
     * The rate limit is exceeded.
     *
     * @param retryAfterMillis the advised pause, in milliseconds
     */
    record Throttled(long retryAfterMillis) implements WeightReply {}

    /** The weight store did not answer within the call budget. */
    record NoAnswer() implements WeightReply {}
}
