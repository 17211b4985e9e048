package io.hornbeamscale.measure.engine;

import io.hornbeamscale.core.work.EngineLoad;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.LongToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * An engine with continuous batching. A step takes longer with more requests, tokens in memory and prompt tokens. A
 * request is admitted when its prompt fits; when memory runs out while responses grow, the lowest and newest request
 * loses its memory and is computed again later.
 */
public final class FakeEngine {
    private static final double EVENT_LOSS = 0.1;
    /** Memory that admission leaves free for the growth of running requests. */
    private static final double WATERMARK = 0.01;

    private final EngineSettings settings;
    private final EventLoop loop;
    private final EngineListener listener;
    private final RandomGenerator random;
    private final LongToDoubleFunction slowdown;
    private final PrefixCache cache;
    private final List<EngineJob> waiting = new ArrayList<>();
    private final List<EngineJob> running = new ArrayList<>();
    private long used;
    private long preemptions;
    private long computed;
    private long order;
    private boolean isStepping;
    private boolean isDown;

    /**
     * Creates an idle engine.
     *
     * @param settings the behaviour, not null
     * @param loop the clock, not null
     * @param listener the receiver of events, not null
     * @param random the source of lost cache events, not null
     * @param slowdown the factor by which steps take longer at a time in microseconds, not null
     */
    public FakeEngine(
            EngineSettings settings,
            EventLoop loop,
            EngineListener listener,
            RandomGenerator random,
            LongToDoubleFunction slowdown) {
        this.settings = settings;
        this.loop = loop;
        this.listener = listener;
        this.random = random;
        this.slowdown = slowdown;
        this.cache = new PrefixCache(settings.cacheTokens());
        loop.every(settings.reportMicros(), this::report);
    }

    private void report() {
        if (isDown) {
            return;
        }
        EngineLoad load = new EngineLoad(loop.nowMillis(), used, running.size(), preemptions);
        loop.after(settings.reportLagMicros(), () -> listener.reported(load));
    }

    /**
     * Returns the number of preemptions since the start.
     *
     * @return the number of preemptions
     */
    public long preemptions() {
        return preemptions;
    }

    /**
     * Returns the number of prompt tokens that were computed, including repeated ones.
     *
     * @return the number of prompt tokens
     */
    public long computedPromptTokens() {
        return computed;
    }

    /**
     * Queues a generation.
     *
     * @param job the generation, not null
     */
    public void submit(EngineJob job) {
        if (isDown) {
            return;
        }
        order++;
        job.order = order;
        waiting.add(job);
        wake();
    }

    private void wake() {
        if (!isStepping) {
            isStepping = true;
            loop.after(0, this::step);
        }
    }

    /**
     * Ends a generation early. Unknown generations are ignored.
     *
     * @param job the generation, not null
     */
    public void cancel(EngineJob job) {
        waiting.remove(job);
        if (running.remove(job)) {
            used -= job.context();
            job.isRunning = false;
        }
    }

    /** Stops the engine for good; everything that runs or waits is lost. */
    public void stop() {
        isDown = true;
        waiting.clear();
        running.clear();
        used = 0;
    }

    private void step() {
        if (isDown) {
            return;
        }
        admit();
        makeRoom();
        if (running.isEmpty()) {
            isStepping = false;
            return;
        }
        int prefilled = prefill();
        double micros = settings.stepMicros()
                + settings.sequenceMicros() * running.size()
                + settings.kiloTokenMicros() * used / 1_000
                + settings.prefillMicros() * prefilled;
        List<EngineJob> batch = new ArrayList<>(running);
        loop.after((long) (micros * slowdown.applyAsDouble(loop.nowMicros())), () -> finishStep(batch));
    }

    private void admit() {
        if (settings.honoursPriorities()) {
            waiting.sort(Comparator.comparingInt((EngineJob j) -> -j.priority).thenComparingLong(j -> j.order));
        } else {
            waiting.sort(Comparator.comparingLong(j -> j.order));
        }
        long limit = (long) (settings.capacityTokens() * (1 - WATERMARK));
        while (!waiting.isEmpty() && running.size() < settings.maxRunning()) {
            EngineJob j = waiting.get(0);
            if (used + j.context() > limit) {
                return;
            }
            waiting.remove(0);
            start(j);
        }
    }

    private void start(EngineJob j) {
        j.toPrefill = j.context();
        if (j.emitted == 0) {
            j.toPrefill -= Math.min(cache.hit(j), j.promptTokens - 1);
        }
        used += j.context();
        j.isRunning = true;
        running.add(j);
        for (long hash : cache.add(j)) {
            cacheEvent(hash, false);
        }
        j.prefixHashes.forEach(h -> cacheEvent(h, true));
        listener.admitted(j, j.lastCounted == 0 && j.emitted == 0);
        j.lastCounted = 1;
    }

    private void cacheEvent(long hash, boolean isCached) {
        if (random.nextDouble() >= EVENT_LOSS) {
            loop.after(settings.reportLagMicros(), () -> listener.cacheChanged(hash, isCached));
        }
    }

    private void makeRoom() {
        while (running.size() > 1 && used + running.size() > settings.capacityTokens()) {
            EngineJob victim = running.get(0);
            for (EngineJob j : running) {
                boolean isRanked = settings.honoursPriorities() && j.priority != victim.priority;
                boolean isLower = isRanked ? j.priority < victim.priority : j.order > victim.order;
                victim = isLower ? j : victim;
            }
            running.remove(victim);
            used -= victim.context();
            victim.isRunning = false;
            waiting.add(victim);
            preemptions++;
            listener.preempted(victim);
        }
    }

    private int prefill() {
        int budget = settings.prefillChunk();
        for (EngineJob j : running) {
            int part = Math.min(budget, j.toPrefill);
            // Marks the step in which the prompt is complete: the first token comes at its end.
            j.toPrefill -= part;
            budget -= part;
        }
        int prefilled = settings.prefillChunk() - budget;
        computed += prefilled;
        return prefilled;
    }

    private void finishStep(List<EngineJob> batch) {
        for (EngineJob j : batch) {
            if (isDown) {
                return;
            }
            if (!j.isRunning || j.toPrefill > 0) {
                continue;
            }
            j.emitted++;
            used++;
            listener.emitted(j);
            if (j.emitted >= j.outputTokens && j.isRunning) {
                running.remove(j);
                used -= j.context();
                j.isRunning = false;
                listener.finished(j);
            }
        }
        step();
    }
}
