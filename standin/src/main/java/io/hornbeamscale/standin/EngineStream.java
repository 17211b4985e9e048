package io.hornbeamscale.standin;

import java.util.ArrayList;
import java.util.List;

/** One generation of the engine stand-in. Guarded by the lock of its {@link EngineState}. */
final class EngineStream {
    final String id;
    final String requestId;
    final String prompt;
    final int promptTokens;
    final int maxTokens;
    final int priority;
    int emitted;
    int stallAfterTokens = Integer.MAX_VALUE;
    int abortAfterTokens = Integer.MAX_VALUE;
    boolean isRunning;
    boolean isCancelled;
    boolean isAborted;
    long endedMillis;
    private final List<Runnable> listeners = new ArrayList<>();

    EngineStream(String id, String requestId, String prompt, int maxTokens, int priority) {
        this.id = id;
        this.requestId = requestId;
        this.prompt = prompt;
        this.promptTokens = EngineTokens.countTokens(prompt);
        this.maxTokens = maxTokens;
        this.priority = priority;
    }

    boolean isComplete() {
        return emitted >= maxTokens;
    }

    boolean hasEnded() {
        return isComplete() || isCancelled || isAborted;
    }

    long memoryTokens() {
        return (long) promptTokens + emitted;
    }

    void addListener(Runnable listener) {
        listeners.add(listener);
    }

    void removeListener(Runnable listener) {
        listeners.remove(listener);
    }

    List<Runnable> listeners() {
        return List.copyOf(listeners);
    }
}
