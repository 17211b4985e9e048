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
    /** Memory that a token takes beside its characters, in bytes. */
    private static final int TOKEN_OVERHEAD_BYTES = 56;

    final GenerationId id;
    final CustomerId customer;
    final List<String> texts = new ArrayList<>();
    private final Map<GenerationReader, Integer> sentByReader = new LinkedHashMap<>();
    long bytes;
    long ackedOffset;
    long endedMillis = -1;
    long orphanedMillis = -1;
    long reattachedMillis = -1;
    long engineTotal = -1;
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

    void append(List<String> fresh) {
        texts.addAll(fresh);
        for (String text : fresh) {
            bytes += TOKEN_OVERHEAD_BYTES + 2L * text.length();
        }
    }

    void addReader(GenerationReader reader, int offset) {
        sentByReader.put(reader, offset);
        orphanedMillis = -1;
    }

    boolean removeReaders(Predicate<GenerationReader> which, long nowMillis) {
        boolean isRemoved = sentByReader.keySet().removeIf(which);
        if (isRemoved && sentByReader.isEmpty()) {
            orphanedMillis = nowMillis;
        }
        return isRemoved;
    }

    /** Sends every reader what it has not yet been sent, and the end once all is sent. */
    void push(List<RetentionAction> actions, int frameBytes) {
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
                actions.add(endFor(entry.getKey()));
            }
        }
        if (isEnded()) {
            sentByReader.clear();
        }
    }

    private RetentionAction endFor(GenerationReader reader) {
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
