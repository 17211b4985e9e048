package io.hornbeamscale.core.document;

/**
 * Limits that apply to the whole system.
 *
 * @param drainMillis how long a graceful stop waits for running answers, in milliseconds
 * @param maxBodyBytes the greatest body of a request, in bytes
 * @param retryBudgetPercent retries allowed as a share of first attempts, in percent
 * @param retainMillis how long an agent keeps an ended answer for resumption, in milliseconds
 * @param claimRetentionMillis how long the result of a keyed call is remembered, in milliseconds
 * @param rolloutPercent the share of a service's backend servers that may change at a time, in percent
 */
public record LimitsSpec(
        long drainMillis,
        int maxBodyBytes,
        int retryBudgetPercent,
        long retainMillis,
        long claimRetentionMillis,
        int rolloutPercent) {}
