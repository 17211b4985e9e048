package io.hornbeamscale.core.document;

/**
 * Limits that apply to the whole system.
 *
 * @param drainMillis how long a graceful stop waits for running responses, in milliseconds
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param retryBudgetPercent the allowed retries, in percent of first attempts
 * @param retainMillis how long an agent keeps an ended response for resumption, in milliseconds
 * @param claimRetentionMillis how long the result of a call with an idempotency key is kept, in milliseconds
 * @param rolloutPercent the share of a service's backend servers that may be changed at the same time, in percent
 */
public record LimitsSpec(
        @FieldRule(
                meaning = "how long a graceful stop waits for running responses, in milliseconds",
                min = 1_000,
                max = 3_600_000)
        long drainMillis,

        @FieldRule(
                meaning = "greatest body of a request in bytes; a body and its headers share one 1 MiB frame",
                min = 1_024,
                max = 1_000_000)
        int maxBodyBytes,

        @FieldRule(meaning = "retries allowed as a share of first attempts, in percent", min = 0, max = 100)
        int retryBudgetPercent,

        @FieldRule(
                meaning = "how long an agent keeps an ended response for resumption, in milliseconds",
                min = 1_000,
                max = 3_600_000)
        long retainMillis,

        @FieldRule(
                meaning = "how long the result of a keyed call is remembered, in milliseconds",
                min = 60_000,
                max = 604_800_000)
        long claimRetentionMillis,

        @FieldRule(
                meaning = "share of a service's backend servers that may change at a time, in percent",
                min = 1,
                max = 100)
        int rolloutPercent) {
    /**
     * Returns the limits that apply if a document contains none.
     *
     * @return the limits, never null
     */
    public static LimitsSpec defaults() {
        return new LimitsSpec(300_000, 262_144, 10, 60_000, 86_400_000, 25);
    }
}
