package io.hornbeamscale.core.work;

/**
 * A load report of an engine. It arrives with a delay.
 *
 * @param measuredMillis the time of the measurement, in milliseconds
 * @param usedTokens the number of tokens in engine memory
 * @param running the number of running requests
 * @param preemptions the number of preemptions since the start of the engine
 */
public record EngineLoad(long measuredMillis, long usedTokens, int running, long preemptions) {}
