package io.hornbeamscale.measure.engine;

import io.hornbeamscale.core.work.EngineLoad;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.LongToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * A simulated engine with continuous batching. The duration of a step grows with the running requests, the tokens in
 * memory and the computed prompt tokens. A request is admitted when its prompt fits into memory. When responses grow
 * beyond the memory, the newest request of the lowest priority is preempted and computed again later.
 */
public final class SimulatedEngine {
    private static final double CACHE_EVENT_LOSS_RATE = 0.1;
    /** The share of memory that admission keeps free for the growth of running responses. */
    private static final double ADMISSION_WATERMARK = 0.01;

    private final EngineSettings settings;
    private final EventLoop loop;
    private final EngineListener listener;
    private final RandomGenerator random;
    private final LongToDoubleFunction slowdown;
    private final PrefixCache cache;
    private final List<EngineJob> waiting = new ArrayList<>();
    private final List<EngineJob> running = new ArrayList<>();
    private long usedTokens;
    private long preemptions;
    private long computedPromptTokens;
    private long lastSubmitSequence;
    private boolean isStepping;
    private boolean isDown;

    /**
     * Creates an idle engine.
     *
     * @param settings the behaviour, not null
     * @param loop the clock, not null
     * @param listener the receiver of events, not null
     * @param random the random generator that selects lost cache events, not null
     * @param slowdown the factor on step durations by time in microseconds, not null
     */
    public SimulatedEngine(
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
        this.cache = new PrefixCache(settings.prefixCacheTokens());
        loop.every(settings.reportIntervalMicros(), this::report);
    }

    private void report() {
        if (isDown) {
            return;
        }
        EngineLoad load = new EngineLoad(loop.nowMillis(), usedTokens, running.size(), preemptions);
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
     * Returns the number of computed prompt tokens, including those computed again after a preemption.
     *
     * @return the number of prompt tokens
     */
    public long computedPromptTokens() {
        return computedPromptTokens;
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
        lastSubmitSequence++;
        job.submitSequence = lastSubmitSequence;
        waiting.add(job);
        startStepping();
    }

    private void startStepping() {
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
            usedTokens -= job.contextTokens();
            job.isRunning = false;
        }
    }

    /** Stops the engine permanently. Running and waiting generations are lost. */
    public void stop() {
        isDown = true;
        waiting.clear();
        running.clear();
        usedTokens = 0;
    }

    private void step() {
        if (isDown) {
            return;
        }
        admit();
        preemptUntilFits();
        if (running.isEmpty()) {
            isStepping = false;
            return;
        }
        int prefilled = prefill();
        double micros = settings.baseStepMicros()
                + settings.microsPerRequest() * running.size()
                + settings.microsPerKiloToken() * usedTokens / 1_000
                + settings.microsPerPrefillToken() * prefilled;
        List<EngineJob> batch = new ArrayList<>(running);
        loop.after((long) (micros * slowdown.applyAsDouble(loop.nowMicros())), () -> finishStep(batch));
    }

    private void admit() {
        if (settings.honoursPriorities()) {
            waiting.sort(
                    Comparator.comparingInt((EngineJob j) -> -j.priority).thenComparingLong(j -> j.submitSequence));
        } else {
            waiting.sort(Comparator.comparingLong(j -> j.submitSequence));
        }
        long limit = (long) (settings.capacityTokens() * (1 - ADMISSION_WATERMARK));
        while (!waiting.isEmpty() && running.size() < settings.maxRunning()) {
            EngineJob j = waiting.get(0);
            if (usedTokens + j.contextTokens() > limit) {
                return;
            }
            waiting.remove(0);
            start(j);
        }
    }

    private void start(EngineJob j) {
        j.remainingPrefillTokens = j.contextTokens();
        if (j.emitted == 0) {
            j.remainingPrefillTokens -= Math.min(cache.cachedTokens(j), j.promptTokens - 1);
        }
        usedTokens += j.contextTokens();
        j.isRunning = true;
        running.add(j);
        for (long hash : cache.add(j)) {
            sendCacheEvent(hash, false);
        }
        j.prefixHashes.forEach(h -> sendCacheEvent(h, true));
        listener.admitted(j, j.admittedFlag == 0 && j.emitted == 0);
        j.admittedFlag = 1;
    }

    private void sendCacheEvent(long hash, boolean isCached) {
        if (random.nextDouble() >= CACHE_EVENT_LOSS_RATE) {
            loop.after(settings.reportLagMicros(), () -> listener.cacheChanged(hash, isCached));
        }
    }

    private void preemptUntilFits() {
        while (running.size() > 1 && usedTokens + running.size() > settings.capacityTokens()) {
            EngineJob victim = running.get(0);
            for (EngineJob j : running) {
                boolean isOtherPriority = settings.honoursPriorities() && j.priority != victim.priority;
                boolean isPreemptedFirst =
                        isOtherPriority ? j.priority < victim.priority : j.submitSequence > victim.submitSequence;
                victim = isPreemptedFirst ? j : victim;
            }
            running.remove(victim);
            usedTokens -= victim.contextTokens();
            victim.isRunning = false;
            waiting.add(victim);
            preemptions++;
            listener.preempted(victim);
        }
    }

    private int prefill() {
        int budget = settings.maxPrefillTokensPerStep();
        for (EngineJob j : running) {
            // A request emits its first token at the end of the step that completes its prompt.
            int part = Math.min(budget, j.remainingPrefillTokens);
            j.remainingPrefillTokens -= part;
            budget -= part;
        }
        int prefilled = settings.maxPrefillTokensPerStep() - budget;
        computedPromptTokens += prefilled;
        return prefilled;
    }

    private void finishStep(List<EngineJob> batch) {
        for (EngineJob j : batch) {
            if (isDown) {
                return;
            }
            if (!j.isRunning || j.remainingPrefillTokens > 0) {
                continue;
            }
            j.emitted++;
            usedTokens++;
            listener.emitted(j);
            if (j.emitted >= j.outputTokens && j.isRunning) {
                running.remove(j);
                usedTokens -= j.contextTokens();
                j.isRunning = false;
                listener.finished(j);
            }
        }
        step();
    }
}
