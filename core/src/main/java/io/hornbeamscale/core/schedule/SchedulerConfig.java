package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.util.Arguments;

/**
 * Settings of an engine scheduler.
 *
 * @param backend the backend server, not null
 * @param incarnation the incarnation of the agent
 * @param capacityTokens the engine's memory in tokens, 0 for plain services
 * @param maxRunning the greatest number of requests that run at once
 * @param maxWaiting the greatest number of waiting reservations
 * @param grantMillis how long a grant is valid, in milliseconds
 * @param typicalTokens the output length to assume before any response was seen, in tokens
 * @param shortSharePercent the share of memory that long work cannot take while there is short work, in percent
 * @param isPredictive whether admission and order use expected lengths; without, only the prompt counts
 * @param isFair whether customers are ordered by their weighted tokens
 * @param targetGapMillis the time between tokens above which fewer requests run at once, 0 for no such limit
 */
public record SchedulerConfig(
        BackendId backend,
        long incarnation,
        long capacityTokens,
        int maxRunning,
        int maxWaiting,
        long grantMillis,
        int typicalTokens,
        int shortSharePercent,
        boolean isPredictive,
        boolean isFair,
        double targetGapMillis) {
    /** Checks the parts. */
    public SchedulerConfig {
        Arguments.notNull(backend, "backend");
        Arguments.notNegative(capacityTokens, "capacityTokens");
        Arguments.positive(maxRunning, "maxRunning");
        Arguments.positive(maxWaiting, "maxWaiting");
        Arguments.positive(grantMillis, "grantMillis");
        Arguments.positive(typicalTokens, "typicalTokens");
        Arguments.inRange(targetGapMillis, 0, 60_000, "targetGapMillis");
        Arguments.inRange(shortSharePercent, 0, 90, "shortSharePercent");
    }

    /**
     * Starts a builder with the default settings.
     *
     * @param backend the backend server, not null
     * @param incarnation the incarnation of the agent
     * @return the builder, never null
     */
    public static Builder builder(BackendId backend, long incarnation) {
        return new Builder(backend, incarnation);
    }

    /** Builds the settings of a scheduler. */
    public static final class Builder {
        private final BackendId backend;
        private final long incarnation;
        private long capacityTokens;
        private int maxRunning = 64;
        private int maxWaiting = 4_096;
        private long grantMillis = 1_000;
        private int typicalTokens = 400;
        private int shortSharePercent = 15;
        private boolean isPredictive = true;
        private boolean isFair = true;
        private double targetGapMillis = 33;

        private Builder(BackendId backend, long incarnation) {
            this.backend = backend;
            this.incarnation = incarnation;
        }

        /**
         * Sets the engine's memory.
         *
         * @param value the memory in tokens, 0 for plain services
         * @return this builder
         */
        public Builder capacityTokens(long value) {
            capacityTokens = value;
            return this;
        }

        /**
         * Sets the bound of running requests.
         *
         * @param value the greatest number of requests that run at once, greater than 0
         * @return this builder
         */
        public Builder maxRunning(int value) {
            maxRunning = value;
            return this;
        }

        /**
         * Sets the bound of waiting reservations.
         *
         * @param value the greatest number of waiting reservations, greater than 0
         * @return this builder
         */
        public Builder maxWaiting(int value) {
            maxWaiting = value;
            return this;
        }

        /**
         * Sets how long a grant is valid.
         *
         * @param value the time in milliseconds, greater than 0
         * @return this builder
         */
        public Builder grantMillis(long value) {
            grantMillis = value;
            return this;
        }

        /**
         * Sets the prior of the length estimate.
         *
         * @param value the output length in tokens, greater than 0
         * @return this builder
         */
        public Builder typicalTokens(int value) {
            typicalTokens = value;
            return this;
        }

        /**
         * Sets the share of memory that long work cannot take.
         *
         * @param value the share in percent, from 0 to 90; 0 switches it off
         * @return this builder
         */
        public Builder shortSharePercent(int value) {
            shortSharePercent = value;
            return this;
        }

        /**
         * Sets whether expected lengths are used.
         *
         * @param value whether admission and order use expected lengths
         * @return this builder
         */
        public Builder predictive(boolean value) {
            isPredictive = value;
            return this;
        }

        /**
         * Sets whether customers are ordered by their weighted tokens.
         *
         * @param value whether the order is fair between customers
         * @return this builder
         */
        public Builder fair(boolean value) {
            isFair = value;
            return this;
        }

        /**
         * Sets the target for the time between tokens.
         *
         * @param value the time in milliseconds, 0 for no limit of the batch
         * @return this builder
         */
        public Builder targetGapMillis(double value) {
            targetGapMillis = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings, never null
         * @throws IllegalArgumentException if a value is out of range
         */
        public SchedulerConfig build() {
            return new SchedulerConfig(
                    backend,
                    incarnation,
                    capacityTokens,
                    maxRunning,
                    maxWaiting,
                    grantMillis,
                    typicalTokens,
                    shortSharePercent,
                    isPredictive,
                    isFair,
                    targetGapMillis);
        }
    }
}
