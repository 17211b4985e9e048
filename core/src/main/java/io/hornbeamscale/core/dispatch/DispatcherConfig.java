package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ZoneId;
import io.hornbeamscale.core.util.Arguments;

/**
 * Settings of a dispatcher.
 *
 * @param zone the availability zone of the entry, not null
 * @param region the region of the entry, not null
 * @param maxQueued the maximum number of requests that wait for a start
 * @param maxAttempts the maximum number of attempts per request that are handed over
 * @param reserveRetryMillis the delay before a request without any reservation tries to reserve again, in milliseconds
 * @param rerunWaitMillis the minimum time that a repeated or hedged attempt may wait for its start, even beyond the
 *     deadline of the request, in milliseconds
 * @param retryPercent retries and hedged attempts as a share of first attempts, in percent
 * @param retryAfterMillis the minimum advised retry delay of a refused caller, in milliseconds
 * @param linkBytesPerSecond the budget for traffic with other regions in bytes per second, 0 to use only the own region
 */
public record DispatcherConfig(
        ZoneId zone,
        RegionId region,
        int maxQueued,
        int maxAttempts,
        long reserveRetryMillis,
        long rerunWaitMillis,
        int retryPercent,
        long retryAfterMillis,
        long linkBytesPerSecond) {
    /** Checks the parts. */
    public DispatcherConfig {
        Arguments.notNull(zone, "zone");
        Arguments.notNull(region, "region");
        Arguments.positive(maxQueued, "maxQueued");
        Arguments.positive(maxAttempts, "maxAttempts");
        Arguments.positive(reserveRetryMillis, "reserveRetryMillis");
        Arguments.notNegative(rerunWaitMillis, "rerunWaitMillis");
        Arguments.inRange(retryPercent, 0, 100, "retryPercent");
        Arguments.positive(retryAfterMillis, "retryAfterMillis");
        Arguments.notNegative(linkBytesPerSecond, "linkBytesPerSecond");
    }

    /**
     * Starts a builder with the default settings.
     *
     * @param zone the availability zone of the entry, not null
     * @param region the region of the entry, not null
     * @return the builder, never null
     */
    public static Builder builder(ZoneId zone, RegionId region) {
        return new Builder(zone, region);
    }

    /** Builds the settings of a dispatcher. */
    public static final class Builder {
        private final ZoneId zone;
        private final RegionId region;
        private int maxQueued = 10_000;
        private int maxAttempts = 3;
        private long reserveRetryMillis = 50;
        private long rerunWaitMillis = 5_000;
        private int retryPercent = 10;
        private long retryAfterMillis = 1_000;
        private long linkBytesPerSecond = 1_000_000;

        private Builder(ZoneId zone, RegionId region) {
            this.zone = zone;
            this.region = region;
        }

        /**
         * Sets the maximum length of the queue.
         *
         * @param value the maximum number of waiting requests, greater than 0
         * @return this builder
         */
        public Builder maxQueued(int value) {
            maxQueued = value;
            return this;
        }

        /**
         * Sets the maximum number of attempts per request.
         *
         * @param value the number of attempts, greater than 0
         * @return this builder
         */
        public Builder maxAttempts(int value) {
            maxAttempts = value;
            return this;
        }

        /**
         * Sets the delay before a request without any reservation tries to reserve again.
         *
         * @param value the delay in milliseconds, greater than 0
         * @return this builder
         */
        public Builder reserveRetryMillis(long value) {
            reserveRetryMillis = value;
            return this;
        }

        /**
         * Sets the minimum time that a repeated or hedged attempt may wait for its start.
         *
         * @param value the time in milliseconds, not negative
         * @return this builder
         */
        public Builder rerunWaitMillis(long value) {
            rerunWaitMillis = value;
            return this;
        }

        /**
         * Sets the retry budget.
         *
         * @param value the share of first attempts in percent, from 0 to 100
         * @return this builder
         */
        public Builder retryPercent(int value) {
            retryPercent = value;
            return this;
        }

        /**
         * Sets the minimum advised retry delay of a refused caller.
         *
         * @param value the delay in milliseconds, greater than 0
         * @return this builder
         */
        public Builder retryAfterMillis(long value) {
            retryAfterMillis = value;
            return this;
        }

        /**
         * Sets the budget for traffic with other regions.
         *
         * @param value the budget in bytes per second, 0 to use only the own region
         * @return this builder
         */
        public Builder linkBytesPerSecond(long value) {
            linkBytesPerSecond = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings, never null
         * @throws IllegalArgumentException if a value is out of range
         */
        public DispatcherConfig build() {
            return new DispatcherConfig(
                    zone,
                    region,
                    maxQueued,
                    maxAttempts,
                    reserveRetryMillis,
                    rerunWaitMillis,
                    retryPercent,
                    retryAfterMillis,
                    linkBytesPerSecond);
        }
    }
}
