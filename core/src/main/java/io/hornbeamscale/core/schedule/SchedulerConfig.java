package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.util.Arguments;

/**
 * Settings of an engine scheduler.
 *
 * @param backend the backend server, not null
 * @param incarnation the incarnation of the agent
 * @param capacityTokens the engine's memory in tokens, 0 for plain services
 * @param maxRunning the maximum number of concurrent requests
 * @param maxWaiting the maximum number of waiting reservations
 * @param grantMillis how long a grant is valid, in milliseconds
 * @param typicalTokens the assumed output length before any response has completed, in tokens
 * @param shortSharePercent the share of memory reserved for short work while there is some, in percent
 * @param isPredictive whether admission and order use expected lengths; otherwise only prompts and emitted tokens count
 * @param isFair whether customers are ordered by their weighted tokens
 * @param targetGapMillis the time between tokens above which the number of concurrent requests is reduced, 0 for no
 *     such limit
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
         * Sets the maximum number of running requests.
         *
         * @param value the maximum number of concurrent requests, greater than 0
         * @return this builder
         */
        public Builder maxRunning(int value) {
            maxRunning = value;
            return this;
        }

        /**
         * Sets the maximum number of waiting reservations.
         *
         * @param value the number of reservations, greater than 0
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
         * Sets the assumed output length before any response has completed.
         *
         * @param value the output length in tokens, greater than 0
         * @return this builder
         */
        public Builder typicalTokens(int value) {
            typicalTokens = value;
            return this;
        }

        /**
         * Sets the share of memory reserved for short work.
         *
         * @param value the share in percent, from 0 to 90; 0 reserves none
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
         * @param value the time in milliseconds, 0 for no limit of the batch size
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
