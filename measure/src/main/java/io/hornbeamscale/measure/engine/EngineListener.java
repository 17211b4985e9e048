package io.hornbeamscale.measure.engine;

import io.hornbeamscale.core.work.EngineLoad;

/** Receives what a fake engine reports. */
public interface EngineListener {
    /**
     * A generation got memory and leaves the engine's queue.
     *
     * @param job the generation
     * @param isFirst whether it is admitted for the first time
     */
    void admitted(EngineJob job, boolean isFirst);

    /**
     * A generation emitted one token.
     *
     * @param job the generation
     */
    void emitted(EngineJob job);

    /**
     * A generation emitted its last token.
     *
     * @param job the generation
     */
    void finished(EngineJob job);

    /**
     * A generation lost its memory and will be computed again.
     *
     * @param job the generation
     */
    void preempted(EngineJob job);

    /**
     * A load report arrives, late.
     *
     * @param load the report
     */
    void reported(EngineLoad load);

    /**
     * A prefix entered the cache or left it; arrives late, and some events are lost.
     *
     * @param hash the hash of the prefix
     * @param isCached whether the prefix is in the cache
     */
    void cacheChanged(long hash, boolean isCached);
}
