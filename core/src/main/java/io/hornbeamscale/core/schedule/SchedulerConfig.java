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
 */
public record SchedulerConfig(
        BackendId backend, long incarnation, long capacityTokens, int maxRunning, int maxWaiting, long grantMillis) {
    /** Checks the parts. */
    public SchedulerConfig {
        Arguments.notNull(backend, "backend");
        Arguments.notNegative(capacityTokens, "capacityTokens");
        Arguments.positive(maxRunning, "maxRunning");
        Arguments.positive(maxWaiting, "maxWaiting");
        Arguments.positive(grantMillis, "grantMillis");
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
         * Builds the settings.
         *
         * @return the settings, never null
         * @throws IllegalArgumentException if a value is out of range
         */
        public SchedulerConfig build() {
            return new SchedulerConfig(backend, incarnation, capacityTokens, maxRunning, maxWaiting, grantMillis);
        }
    }
}
