package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.util.Arguments;

/**
 * Settings of the claims. The number of partitions and the retention must be the same on all entries.
 *
 * @param partitions the number of partitions, each of which is one store value
 * @param maxPartitionBytes the maximum size of a partition, above which it refuses new claims, in bytes
 * @param maxBodyBytes the size of the largest result body that is stored, in bytes
 * @param retentionMillis how long a claim and its result are kept, in milliseconds
 * @param maxClockSkewMillis the maximum difference between the clocks of two entries, in milliseconds
 * @param writeIntervalMillis the minimum interval between two writes of a partition, in milliseconds
 * @param epochOffsetMillis the offset to add to the process's clock to obtain milliseconds since the epoch
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
        Arguments.notNegative(maxClockSkewMillis, "maxClockSkewMillis");
        Arguments.notNegative(writeIntervalMillis, "writeIntervalMillis");
    }

    /**
     * Returns settings that write at most 213 times per second: 64 partitions, each every 300 ms.
     *
     * @param retentionMillis how long a claim is kept, in milliseconds
     * @param epochOffsetMillis the offset to add to the process's clock to obtain milliseconds since the epoch
     * @return the settings, never null
     */
    public static ClaimSettings standard(long retentionMillis, long epochOffsetMillis) {
        return new ClaimSettings(64, 900_000, 2_048, retentionMillis, 60_000, 300, epochOffsetMillis);
    }
}
