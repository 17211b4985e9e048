package io.hornbeamscale.measure.engine;

/**
 * The behaviour of a fake engine.
 *
 * @param capacityTokens the memory in tokens
 * @param maxRunning the greatest batch
 * @param stepMicros the time of an empty step in microseconds
 * @param sequenceMicros the additional time per running request in microseconds
 * @param kiloTokenMicros the additional time per thousand tokens in memory in microseconds
 * @param prefillMicros the additional time per prompt token that is computed in microseconds
 * @param prefillChunk the greatest number of prompt tokens per step
 * @param cacheTokens the size of the prefix cache in tokens
 * @param reportMicros the time between two load reports in microseconds
 * @param reportLagMicros how late a load report or cache event arrives in microseconds
 * @param honoursPriorities whether the engine orders and preempts by priority
 */
public record EngineSettings(
        long capacityTokens,
        int maxRunning,
        double stepMicros,
        double sequenceMicros,
        double kiloTokenMicros,
        double prefillMicros,
        int prefillChunk,
        int cacheTokens,
        long reportMicros,
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
                stepMicros,
                sequenceMicros,
                kiloTokenMicros,
                prefillMicros,
                prefillChunk,
                cacheTokens,
                reportMicros,
                reportLagMicros,
                false);
    }
}
