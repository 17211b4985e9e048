package io.hornbeamscale.core.stream;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GenerationId;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The output of one generation and its readers. */
final class RetainedGeneration {
    /** The memory overhead of a token beyond its characters, in bytes. */
    private static final int TOKEN_OVERHEAD_BYTES = 56;

    final GenerationId id;
    final CustomerId customer;
    final List<String> texts = new ArrayList<>();
    private final Map<GenerationReader, Integer> sentByReader = new LinkedHashMap<>();
    long bytes;
    long ackedOffset;
    /** When the generation ended, -1 while it runs. */
    long endedMillis = -1;
    /** When the last reader was lost, -1 while there is a reader. */
    long orphanedMillis = -1;
    /** When the engine was asked to send output again, -1 if no such request is pending. */
    long reattachSentMillis = -1;
    /** The number of tokens that the engine reported at the end, -1 if unknown. */
    long totalTokens = -1;

    String finishReason = "";
    ErrorKind failure;
    RunOutcome outcome;

    RetainedGeneration(GenerationId id, CustomerId customer) {
        this.id = id;
        this.customer = customer;
    }

    boolean isEnded() {
        return endedMillis >= 0;
    }

    boolean isAcknowledged() {
        return failure != null || ackedOffset >= texts.size();
    }

    boolean hasReaders() {
        return !sentByReader.isEmpty();
    }

    void append(List<String> newTexts) {
        texts.addAll(newTexts);
        for (String text : newTexts) {
            bytes += TOKEN_OVERHEAD_BYTES + 2L * text.length();
        }
    }

    void addReader(GenerationReader reader, int offset) {
        sentByReader.put(reader, offset);
        orphanedMillis = -1;
    }

    boolean removeReaders(Predicate<GenerationReader> condition, long nowMillis) {
        boolean isRemoved = sentByReader.keySet().removeIf(condition);
        if (isRemoved && sentByReader.isEmpty()) {
            orphanedMillis = nowMillis;
        }
        return isRemoved;
    }

    /** Sends every reader the tokens that it has not been sent, and the end once the generation has ended. */
    void sendToReaders(List<RetentionAction> actions, int frameBytes) {
        for (Map.Entry<GenerationReader, Integer> entry : sentByReader.entrySet()) {
            int offset = entry.getValue();
            while (offset < texts.size()) {
                int end = frameEnd(offset, frameBytes);
                actions.add(new RetentionAction.SendTokens(
                        entry.getKey(), id, offset, List.copyOf(texts.subList(offset, end))));
                offset = end;
            }
            entry.setValue(Math.max(entry.getValue(), offset));
            if (isEnded()) {
                actions.add(endActionFor(entry.getKey()));
            }
        }
        if (isEnded()) {
            sentByReader.clear();
        }
    }

    private RetentionAction endActionFor(GenerationReader reader) {
        if (failure != null) {
            return new RetentionAction.SendFailed(reader, id, failure, outcome, texts.size());
        }
        return new RetentionAction.SendEnd(reader, id, texts.size(), finishReason);
    }

    private int frameEnd(int from, int frameBytes) {
        int end = from;
        long size = 0;
        while (end < texts.size()) {
            size += texts.get(end).getBytes(StandardCharsets.UTF_8).length + 5L;
            if (end > from && size > frameBytes) {
                break;
            }
            end++;
        }
        return end;
    }
}
