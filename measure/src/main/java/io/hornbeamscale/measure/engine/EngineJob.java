package io.hornbeamscale.measure.engine;

import java.util.List;

/** One generation on a simulated engine. */
public final class EngineJob {
    final int promptTokens;
    final int outputTokens;
    final int priority;
    final List<Long> prefixHashes;
    final int prefixTokens;
    final Object owner;
    int emitted;
    int remainingPrefillTokens;
    /** 0 before the first admission, then 1. */
    int admittedFlag;

    long submitSequence;
    boolean isRunning;

    /**
     * Creates a generation.
     *
     * @param owner the object that the listener receives back, not null
     * @param promptTokens the number of prompt tokens, greater than 0
     * @param outputTokens the number of tokens that it will emit, greater than 0
     * @param priority the priority; greater numbers are admitted first
     * @param prefixHashes hashes of the prompt's prefixes, shortest first, not null
     * @param prefixTokens the number of tokens of the longest prefix
     */
    public EngineJob(
            Object owner, int promptTokens, int outputTokens, int priority, List<Long> prefixHashes, int prefixTokens) {
        this.owner = owner;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.priority = priority;
        this.prefixHashes = List.copyOf(prefixHashes);
        this.prefixTokens = prefixTokens;
    }

    /**
     * Returns the object given at creation.
     *
     * @return the owner, never null
     */
    public Object owner() {
        return owner;
    }

    /**
     * Returns the number of tokens emitted so far.
     *
     * @return the number of tokens
     */
    public int emitted() {
        return emitted;
    }

    int contextTokens() {
        return promptTokens + emitted;
    }
}
