package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.util.Arguments;

/**
 * Settings of the claims. Partitions and retention must be the same on all entries.
 *
 * @param partitions the number of store values that hold claims
 * @param maxPartitionBytes the size from which a partition refuses new claims, in bytes
 * @param maxBodyBytes the greatest body of a result that is stored, in bytes
 * @param retentionMillis how long a claim and its result are remembered, in milliseconds
 * @param maxClockSkewMillis the greatest difference between the clocks of two entries, in milliseconds
 * @param writeIntervalMillis the shortest time between two writes of a partition, in milliseconds
 * @param epochOffsetMillis what to add to the process's clock to get milliseconds since the epoch
 */
public record ClaimSettings(
        int partitions,
        int maxPartitionBytes,
        int maxBodyBytes,
        long retentionMillis,
        long maxClockSkewMillis,
        long writeIntervalMillis,
        long epochOffsetMillis) {
    /** Checks the parts. */
    public ClaimSettings {
        Arguments.positive(partitions, "partitions");
        Arguments.inRange(maxPartitionBytes, 1, 950_000, "maxPartitionBytes");
        Arguments.notNegative(maxBodyBytes, "maxBodyBytes");
        Arguments.positive(retentionMillis, "retentionMillis");
        Arguments.notNegative(maxClockSkewMillis, "skewMillis");
        Arguments.notNegative(writeIntervalMillis, "writeIntervalMillis");
    }

    /**
     * Returns settings that write at most 213 times per second: 64 partitions, each every 300 ms.
     *
     * @param retentionMillis how long a claim is remembered, in milliseconds
     * @param epochOffsetMillis what to add to the process's clock to get milliseconds since the epoch
     * @return the settings, never null
     */
    public static ClaimSettings standard(long retentionMillis, long epochOffsetMillis) {
        return new ClaimSettings(64, 900_000, 2_048, retentionMillis, 60_000, 300, epochOffsetMillis);
    }
}
