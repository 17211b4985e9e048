package io.hornbeamscale.core.work;

/**
 * A load report of an engine. It lags.
 *
 * @param measuredMillis when the engine measured the load
 * @param usedTokens the tokens in engine memory
 * @param running the number of running requests
 * @param preemptions the number of preemptions since the start of the engine
 */
public record EngineLoad(long measuredMillis, long usedTokens, int running, long preemptions) {}
