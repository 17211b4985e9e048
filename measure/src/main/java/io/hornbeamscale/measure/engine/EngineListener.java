package io.hornbeamscale.measure.engine;

import io.hornbeamscale.core.work.EngineLoad;

/** Receives the events and load reports of a simulated engine. */
public interface EngineListener {
    /**
     * Called when a generation got memory and left the engine's queue.
     *
     * @param job the generation
     * @param isFirst whether it is admitted for the first time
     */
    void admitted(EngineJob job, boolean isFirst);

    /**
     * Called when a generation emitted one token.
     *
     * @param job the generation
     */
    void emitted(EngineJob job);

    /**
     * Called when a generation emitted its last token.
     *
     * @param job the generation
     */
    void finished(EngineJob job);

    /**
     * Called when a generation lost its memory. It is queued and will be computed again.
     *
     * @param job the generation
     */
    void preempted(EngineJob job);

    /**
     * Called when a load report arrives, after the report lag.
     *
     * @param load the report
     */
    void reported(EngineLoad load);

    /**
     * Called when a prefix entered or left the cache, after the report lag. Some of these events are lost.
     *
     * @param hash the hash of the prefix
     * @param isCached whether the prefix is in the cache
     */
    void cacheChanged(long hash, boolean isCached);
}
