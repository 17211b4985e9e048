package io.hornbeamscale.measure.engine;

/**
 * The behaviour of a simulated engine.
 *
 * @param capacityTokens the memory size in tokens
 * @param maxRunning the maximum number of running requests
 * @param baseStepMicros the time of a step without load in microseconds
 * @param microsPerRequest the additional time per running request in microseconds
 * @param microsPerKiloToken the additional time per 1,000 tokens in memory in microseconds
 * @param microsPerPrefillToken the additional time per computed prompt token in microseconds
 * @param maxPrefillTokensPerStep the maximum number of prompt tokens computed per step
 * @param prefixCacheTokens the size of the prefix cache in tokens
 * @param reportIntervalMicros the time between two load reports in microseconds
 * @param reportLagMicros the delay of load reports and cache events in microseconds
 * @param honoursPriorities whether the engine admits and preempts by priority
 */
public record EngineSettings(
        long capacityTokens,
        int maxRunning,
        double baseStepMicros,
        double microsPerRequest,
        double microsPerKiloToken,
        double microsPerPrefillToken,
        int maxPrefillTokensPerStep,
        int prefixCacheTokens,
        long reportIntervalMicros,
        long reportLagMicros,
        boolean honoursPriorities) {
    /**
     * Returns an engine that needs 27 ms per step with 48 requests and 56,000 tokens in memory, so that the target of
     * 33 ms between tokens leaves room for 128 prompt tokens in the same step. Prompt tokens are computed at 20,000
     * tokens/s, about twelve times the rate of output tokens.
     *
     * @return the settings, never null
     */
    public static EngineSettings standard() {
        return new EngineSettings(56_000, 96, 11_500, 245, 70, 50, 128, 20_000, 500_000, 1_000_000, true);
    }

    /**
     * Returns the same engine without priorities.
     *
     * @return the settings, never null
     */
    public EngineSettings withoutPriorities() {
        return new EngineSettings(
                capacityTokens,
                maxRunning,
                baseStepMicros,
                microsPerRequest,
                microsPerKiloToken,
                microsPerPrefillToken,
                maxPrefillTokensPerStep,
                prefixCacheTokens,
                reportIntervalMicros,
                reportLagMicros,
                false);
    }
}
