package io.hornbeamscale.core.stream;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Retains the output of the generations of one agent. A running generation is retained completely, so that it can be
 * resumed from any offset; an ended one is retained for a limited time within a limited number of bytes. Every method
 * returns the actions to carry out, never null. Not safe for use by several threads.
 */
public final class RetentionBuffer {
    /** The interval after which the engine is asked again for missing output, in milliseconds. */
    static final long REATTACH_RETRY_MILLIS = 1_000;

    private final RetentionLimits limits;
    private final Map<GenerationId, RetainedGeneration> generations = new LinkedHashMap<>();
    private boolean isRebuilding;
    private long endedBytes;
    private long evicted;

    /**
     * Creates an empty buffer.
     *
     * @param limits the limits, not null
     * @param isRebuilding whether the engine's list of streams must be read first, as after the restart of an agent;
     *     until {@link #rebuildCompleted} is called, unknown generations are not declared expired
     */
    public RetentionBuffer(RetentionLimits limits, boolean isRebuilding) {
        this.limits = Arguments.notNull(limits, "limits");
        this.isRebuilding = isRebuilding;
    }

    /**
     * Records a generation that the engine starts for a reader.
     *
     * @param generation the generation, not null
     * @param customer the customer that may read it, not null
     * @param reader the entry that handed the request over, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<RetentionAction> started(
            GenerationId generation, CustomerId customer, GenerationReader reader, long nowMillis) {
        add(generation, customer).addReader(Arguments.notNull(reader, "reader"), 0);
        return List.of();
    }

    /**
     * Records a stream that a restarted agent found on the engine. Its output is read again from the first token, and
     * the generation keeps its id, so that callers can resume it.
     *
     * @param generation the generation under which the stream was started, not null
     * @param customer the customer that may read it, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<RetentionAction> reattached(GenerationId generation, CustomerId customer, long nowMillis) {
        RetainedGeneration retained = add(generation, customer);
        if (!retained.hasReaders()) {
            retained.orphanedMillis = nowMillis;
        }
        retained.reattachSentMillis = nowMillis;
        return List.of(new RetentionAction.ReattachGeneration(generation, retained.texts.size()));
    }

    /**
     * Records that all streams of the engine have been reported through {@link #reattached}.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<RetentionAction> rebuildCompleted(long nowMillis) {
        isRebuilding = false;
        return List.of();
    }

    /**
     * Handles tokens from the engine. Repeated tokens are dropped; after a gap, the engine is asked to send again.
     *
     * @param generation the generation, not null
     * @param offset the offset of the first token
     * @param texts the texts of the tokens, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<RetentionAction> tokens(GenerationId generation, long offset, List<String> texts, long nowMillis) {
        RetainedGeneration retained = generations.get(generation);
        List<RetentionAction> actions = new ArrayList<>();
        if (retained == null || retained.isEnded()) {
            return actions;
        }
        int held = retained.texts.size();
        if (offset > held) {
            reattach(retained, actions, nowMillis);
            return actions;
        }
        if (offset + texts.size() <= held) {
            return actions;
        }
        retained.append(texts.subList((int) (held - offset), texts.size()));
        retained.reattachSentMillis = -1;
        endIfComplete(retained, nowMillis);
        retained.sendToReaders(actions, limits.frameBytes());
        evict();
        return actions;
    }

    /**
     * Handles the end of a generation on the engine.
     *
     * @param generation the generation, not null
     * @param totalTokens the number of tokens of the whole generation
     * @param finishReason the engine's reason, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<RetentionAction> ended(GenerationId generation, long totalTokens, String finishReason, long nowMillis) {
        RetainedGeneration retained = generations.get(generation);
        List<RetentionAction> actions = new ArrayList<>();
        if (retained == null || retained.isEnded()) {
            return actions;
        }
        retained.totalTokens = totalTokens;
        retained.finishReason = Arguments.notNull(finishReason, "finishReason");
        endIfComplete(retained, nowMillis);
        if (!retained.isEnded()) {
            reattach(retained, actions, nowMillis);
        }
        retained.sendToReaders(actions, limits.frameBytes());
        evict();
        return actions;
    }

    /**
     * Handles the loss of a generation.
     *
     * @param generation the generation, not null
     * @param kind the error, not null
     * @param outcome what is known about the execution, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<RetentionAction> failed(GenerationId generation, ErrorKind kind, RunOutcome outcome, long nowMillis) {
        RetainedGeneration retained = generations.get(generation);
        List<RetentionAction> actions = new ArrayList<>();
        if (retained == null || retained.isEnded()) {
            return actions;
        }
        retained.failure = Arguments.notNull(kind, "kind");
        retained.outcome = Arguments.notNull(outcome, "outcome");
        markEnded(retained, nowMillis);
        retained.sendToReaders(actions, limits.frameBytes());
        evict();
        return actions;
    }

    /**
     * Sends a generation to a reader from an offset on. A generation of another customer is treated as unknown, so that
     * ids reveal nothing. A running generation without new tokens is confirmed by an empty frame.
     *
     * @param generation the generation, not null
     * @param customer the requesting customer, not null
     * @param reader the requesting entry, not null
     * @param offset the first token to send
     * @param nowMillis the present time
     * @return the actions to carry out; empty while the buffer is being rebuilt, in which case the reader asks again
     */
    public List<RetentionAction> resume(
            GenerationId generation, CustomerId customer, GenerationReader reader, long offset, long nowMillis) {
        RetainedGeneration retained = generations.get(generation);
        List<RetentionAction> actions = new ArrayList<>();
        if (retained == null && isRebuilding) {
            return actions;
        }
        if (retained == null || !retained.customer.equals(customer)) {
            actions.add(refusal(reader, generation, ErrorKind.STREAM_EXPIRED, offset));
            return actions;
        }
        if (offset < 0 || isBeyondEnd(retained, offset)) {
            actions.add(refusal(reader, generation, ErrorKind.BAD_REQUEST, offset));
            return actions;
        }
        retained.addReader(reader, (int) offset);
        retained.sendToReaders(actions, limits.frameBytes());
        if (actions.isEmpty()) {
            actions.add(new RetentionAction.SendTokens(reader, generation, offset, List.of()));
        }
        return actions;
    }

    /**
     * Records how far an entry has received the output.
     *
     * @param generation the generation, not null
     * @param offset the number of tokens received in order
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<RetentionAction> acknowledged(GenerationId generation, long offset, long nowMillis) {
        RetainedGeneration retained = generations.get(generation);
        if (retained != null) {
            retained.ackedOffset = Math.max(retained.ackedOffset, offset);
        }
        return List.of();
    }

    /**
     * Handles the loss of the connection to an entry. Generations without a reader continue for a limited time.
     *
     * @param entry the entry, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<RetentionAction> entryConnectionLost(NodeId entry, long nowMillis) {
        for (RetainedGeneration retained : generations.values()) {
            retained.removeReaders(reader -> reader.entry().equals(entry), nowMillis);
        }
        return List.of();
    }

    /**
     * Drops expired output, cancels generations that were not resumed in time, and repeats unanswered requests to the
     * engine.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<RetentionAction> tick(long nowMillis) {
        List<RetentionAction> actions = new ArrayList<>();
        Iterator<RetainedGeneration> all = generations.values().iterator();
        while (all.hasNext()) {
            RetainedGeneration retained = all.next();
            if (retained.isEnded()) {
                if (nowMillis - retained.endedMillis >= limits.retainMillis()) {
                    endedBytes -= retained.bytes;
                    all.remove();
                }
            } else if (isOrphanExpired(retained, nowMillis)) {
                actions.add(new RetentionAction.CancelGeneration(retained.id));
                all.remove();
            } else if (retained.reattachSentMillis >= 0
                    && nowMillis - retained.reattachSentMillis >= REATTACH_RETRY_MILLIS) {
                retained.reattachSentMillis = -1;
                reattach(retained, actions, nowMillis);
            }
        }
        return actions;
    }

    /**
     * Returns whether the buffer has the output of a generation.
     *
     * @param generation the generation, not null
     * @return whether the generation runs or is retained after its end
     */
    public boolean isHeld(GenerationId generation) {
        return generations.containsKey(generation);
    }

    /**
     * Returns the number of generations whose output has not been received completely by any entry.
     *
     * @return the number of running and of unacknowledged ended generations
     */
    public int unacknowledgedGenerations() {
        int count = 0;
        for (RetainedGeneration retained : generations.values()) {
            if (!retained.isEnded() || !retained.isAcknowledged()) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns the size of the ended generations.
     *
     * @return the size in bytes
     */
    public long endedBytes() {
        return endedBytes;
    }

    /**
     * Returns the number of ended generations that were dropped before their retention time because of the size limit.
     *
     * @return the count
     */
    public long evicted() {
        return evicted;
    }

    private RetainedGeneration add(GenerationId generation, CustomerId customer) {
        Arguments.notNull(generation, "generation");
        Arguments.notNull(customer, "customer");
        return generations.computeIfAbsent(generation, id -> new RetainedGeneration(id, customer));
    }

    private boolean isOrphanExpired(RetainedGeneration retained, long nowMillis) {
        return retained.orphanedMillis >= 0 && nowMillis - retained.orphanedMillis >= limits.orphanMillis();
    }

    private static void reattach(RetainedGeneration retained, List<RetentionAction> actions, long nowMillis) {
        if (retained.reattachSentMillis < 0) {
            retained.reattachSentMillis = nowMillis;
            actions.add(new RetentionAction.ReattachGeneration(retained.id, retained.texts.size()));
        }
    }

    private void endIfComplete(RetainedGeneration retained, long nowMillis) {
        if (retained.totalTokens >= 0 && retained.texts.size() >= retained.totalTokens) {
            markEnded(retained, nowMillis);
        }
    }

    private void markEnded(RetainedGeneration retained, long nowMillis) {
        retained.endedMillis = nowMillis;
        endedBytes += retained.bytes;
    }

    private void evict() {
        evictEnded(true);
        evictEnded(false);
    }

    private void evictEnded(boolean isLimitedToAcknowledged) {
        Iterator<RetainedGeneration> oldestFirst = generations.values().iterator();
        while (endedBytes > limits.retainBytes() && oldestFirst.hasNext()) {
            RetainedGeneration retained = oldestFirst.next();
            if (retained.isEnded() && (!isLimitedToAcknowledged || retained.isAcknowledged())) {
                endedBytes -= retained.bytes;
                evicted++;
                oldestFirst.remove();
            }
        }
    }

    private static boolean isBeyondEnd(RetainedGeneration retained, long offset) {
        return retained.isEnded() && retained.failure == null && offset > retained.texts.size();
    }

    private static RetentionAction refusal(
            GenerationReader reader, GenerationId generation, ErrorKind kind, long offset) {
        return new RetentionAction.SendFailed(reader, generation, kind, RunOutcome.RAN, offset);
    }
}
