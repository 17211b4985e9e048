package io.hornbeamscale.core.stream;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Assembles the response to one request at the entry: every token once, in order, and from one generation. Frames of
 * another attempt or generation are dropped and counted; after a gap, the missing tokens are requested by a resumption.
 * Every method returns the actions to carry out, never null. Not safe for use by several threads.
 */
public final class StreamAssembler {
    /** The interval after which an unanswered resumption is requested again, in milliseconds. */
    static final long RESUME_RETRY_MILLIS = 1_000;

    /** The time without progress after which a generation counts as lost, in milliseconds. */
    static final long RESUME_TIMEOUT_MILLIS = 15_000;

    /**
     * The time without a frame after which the output is requested again although no loss was detected, in
     * milliseconds. An old frame that arrives after a lost connection can hide that the resumption request itself was
     * lost.
     */
    static final long IDLE_TIMEOUT_MILLIS = 5_000;

    /** The number of tokens between two acknowledgements. */
    static final int ACK_INTERVAL_TOKENS = 64;

    private static final Set<ErrorKind> RETRYABLE_KINDS = EnumSet.of(
            ErrorKind.BACKEND_FAILED,
            ErrorKind.GENERATION_LOST,
            ErrorKind.STREAM_EXPIRED,
            ErrorKind.OUTCOME_UNKNOWN,
            ErrorKind.GRANT_EXPIRED,
            ErrorKind.DRAINING,
            ErrorKind.REVOKED,
            ErrorKind.OVERLOADED,
            ErrorKind.NO_BACKEND);

    private final DeliveryMode mode;
    private final boolean isRepeatable;
    private final List<String> receivedTexts = new ArrayList<>();
    private AttemptId attempt;
    private GenerationId generation;
    private long nextOffset;
    private long ackedOffset;
    private long expectedTokens = -1;
    private String finishReason = "";
    private long resumeSentMillis = -1;
    private long stalledSinceMillis = -1;
    private long lastFrameMillis;
    private boolean isClosed;
    private long repeatedTokens;
    private long mismatchedFrames;
    private long gaps;

    /**
     * Creates an assembler that waits for the first hand-over.
     *
     * @param mode how the caller wants the response, not null
     * @param isRepeatable whether the request may be executed more than once
     */
    public StreamAssembler(DeliveryMode mode, boolean isRepeatable) {
        this.mode = Arguments.notNull(mode, "mode");
        this.isRepeatable = isRepeatable;
    }

    /**
     * Derives the id of the generation that is started with a grant. Entry and agent derive it in the same way, so the
     * entry knows which generation to accept before the first frame arrives.
     *
     * @param backend the granting backend server, not null
     * @param grant the grant, not null
     * @return the id, never null
     */
    public static GenerationId generationOf(BackendId backend, GrantId grant) {
        return new GenerationId(backend, grant.incarnation(), grant.sequence());
    }

    /**
     * Records that the request was handed over. Frames of earlier attempts are dropped from now on.
     *
     * @param newAttempt the attempt, not null
     * @param newGeneration the generation that is started with the grant, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<StreamAction> handedOver(AttemptId newAttempt, GenerationId newGeneration, long nowMillis) {
        if (!isClosed) {
            begin(Arguments.notNull(newAttempt, "newAttempt"), Arguments.notNull(newGeneration, "newGeneration"), 0);
            lastFrameMillis = nowMillis;
        }
        return List.of();
    }

    /**
     * Continues a stream that the caller resumed, at this or another entry.
     *
     * @param newAttempt the attempt that the agent's frames carry, not null
     * @param last the id of the last event that the caller received, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<StreamAction> resumed(AttemptId newAttempt, EventId last, long nowMillis) {
        Arguments.notNull(last, "last");
        begin(Arguments.notNull(newAttempt, "newAttempt"), last.generation(), last.offset());
        lastFrameMillis = nowMillis;
        List<StreamAction> actions = new ArrayList<>();
        requestResume(actions, nowMillis);
        return actions;
    }

    /**
     * Handles tokens. A frame without tokens confirms the resumption of a generation that has no new tokens.
     *
     * @param fromAttempt the attempt that the frame carries, not null
     * @param fromGeneration the generation that the frame carries, not null
     * @param offset the offset of the first token
     * @param texts the texts of the tokens, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<StreamAction> tokens(
            AttemptId fromAttempt, GenerationId fromGeneration, long offset, List<String> texts, long nowMillis) {
        if (!isCurrent(fromAttempt, fromGeneration)) {
            mismatchedFrames++;
            return List.of();
        }
        List<StreamAction> actions = new ArrayList<>();
        lastFrameMillis = nowMillis;
        if (texts.isEmpty()) {
            markProgress();
            return actions;
        }
        if (offset > nextOffset) {
            gaps++;
            requestResume(actions, nowMillis);
            return actions;
        }
        int repeated = (int) Math.min(nextOffset - offset, texts.size());
        repeatedTokens += repeated;
        List<String> newTexts = List.copyOf(texts.subList(repeated, texts.size()));
        if (newTexts.isEmpty()) {
            return actions;
        }
        nextOffset += newTexts.size();
        markProgress();
        if (mode == DeliveryMode.WHOLE) {
            receivedTexts.addAll(newTexts);
        } else {
            actions.add(new StreamAction.Deliver(new EventId(generation, nextOffset), newTexts));
        }
        if (nextOffset - ackedOffset >= ACK_INTERVAL_TOKENS) {
            acknowledge(actions);
        }
        completeIfAllReceived(actions);
        return actions;
    }

    /**
     * Handles the end of the generation.
     *
     * @param fromAttempt the attempt that the frame carries, not null
     * @param fromGeneration the generation that the frame carries, not null
     * @param totalTokens the number of tokens of the whole generation
     * @param reason the engine's reason for the end, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<StreamAction> ended(
            AttemptId fromAttempt, GenerationId fromGeneration, long totalTokens, String reason, long nowMillis) {
        if (!isCurrent(fromAttempt, fromGeneration)) {
            mismatchedFrames++;
            return List.of();
        }
        List<StreamAction> actions = new ArrayList<>();
        expectedTokens = totalTokens;
        finishReason = Arguments.notNull(reason, "reason");
        if (nextOffset < expectedTokens) {
            gaps++;
            requestResume(actions, nowMillis);
        }
        completeIfAllReceived(actions);
        return actions;
    }

    /**
     * Handles the failure of the attempt.
     *
     * @param fromAttempt the attempt that failed, not null
     * @param fromGeneration the generation that failed, not null
     * @param kind the error, not null
     * @param outcome what is known about the execution, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<StreamAction> failed(
            AttemptId fromAttempt, GenerationId fromGeneration, ErrorKind kind, RunOutcome outcome, long nowMillis) {
        if (!isCurrent(fromAttempt, fromGeneration)) {
            mismatchedFrames++;
            return List.of();
        }
        return retryOrClose(Arguments.notNull(kind, "kind"), Arguments.notNull(outcome, "outcome"));
    }

    /**
     * Handles the loss of the connection that carries the generation.
     *
     * @param backend the backend server whose connection was lost, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<StreamAction> connectionLost(BackendId backend, long nowMillis) {
        List<StreamAction> actions = new ArrayList<>();
        if (!isClosed && generation != null && generation.backend().equals(backend)) {
            requestResume(actions, nowMillis);
        }
        return actions;
    }

    /**
     * Repeats an unanswered resumption, and treats the generation as lost if no answer arrives in time.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<StreamAction> tick(long nowMillis) {
        if (isClosed || generation == null) {
            return List.of();
        }
        List<StreamAction> actions = new ArrayList<>();
        if (resumeSentMillis < 0) {
            if (nowMillis - lastFrameMillis >= IDLE_TIMEOUT_MILLIS) {
                lastFrameMillis = nowMillis;
                requestResume(actions, nowMillis);
            }
            return actions;
        }
        if (nowMillis - stalledSinceMillis >= RESUME_TIMEOUT_MILLIS) {
            return retryOrClose(ErrorKind.GENERATION_LOST, RunOutcome.UNKNOWN);
        }
        if (nowMillis - resumeSentMillis < RESUME_RETRY_MILLIS) {
            return actions;
        }
        resumeSentMillis = -1;
        requestResume(actions, nowMillis);
        return actions;
    }

    /**
     * Returns whether a frame belongs to the current attempt.
     *
     * @param fromAttempt the attempt that the frame carries, may be null
     * @param fromGeneration the generation that the frame carries, may be null
     * @return whether the frame may be used
     */
    public boolean isCurrent(AttemptId fromAttempt, GenerationId fromGeneration) {
        return !isClosed && generation != null && generation.equals(fromGeneration) && attempt.equals(fromAttempt);
    }

    /**
     * Returns whether the response has ended, so that every later frame is dropped.
     *
     * @return whether the end or an error was delivered
     */
    public boolean isClosed() {
        return isClosed;
    }

    /**
     * Returns whether the caller has received a token of the current generation.
     *
     * @return whether the response can no longer change to another generation without the caller noticing
     */
    public boolean isDelivered() {
        return mode != DeliveryMode.WHOLE && nextOffset > 0;
    }

    /**
     * Returns the number of tokens received in order.
     *
     * @return the offset of the next token
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Returns the number of tokens that arrived more than once.
     *
     * @return the count
     */
    public long repeatedTokens() {
        return repeatedTokens;
    }

    /**
     * Returns the number of frames of another attempt or generation.
     *
     * @return the count
     */
    public long mismatchedFrames() {
        return mismatchedFrames;
    }

    /**
     * Returns the number of frames that arrived before tokens with a lower offset.
     *
     * @return the count
     */
    public long gaps() {
        return gaps;
    }

    private void begin(AttemptId newAttempt, GenerationId newGeneration, long offset) {
        attempt = newAttempt;
        generation = newGeneration;
        nextOffset = offset;
        ackedOffset = offset;
        expectedTokens = -1;
        resumeSentMillis = -1;
        stalledSinceMillis = -1;
        receivedTexts.clear();
    }

    private void markProgress() {
        resumeSentMillis = -1;
        stalledSinceMillis = -1;
    }

    private void requestResume(List<StreamAction> actions, long nowMillis) {
        if (resumeSentMillis >= 0) {
            return;
        }
        resumeSentMillis = nowMillis;
        if (stalledSinceMillis < 0) {
            stalledSinceMillis = nowMillis;
        }
        actions.add(new StreamAction.SendResume(generation, nextOffset));
    }

    private void acknowledge(List<StreamAction> actions) {
        ackedOffset = nextOffset;
        actions.add(new StreamAction.SendAck(generation, nextOffset));
    }

    private void completeIfAllReceived(List<StreamAction> actions) {
        if (nextOffset != expectedTokens) {
            return;
        }
        isClosed = true;
        if (mode == DeliveryMode.WHOLE) {
            actions.add(new StreamAction.DeliverWhole(generation, List.copyOf(receivedTexts), finishReason));
        } else {
            actions.add(new StreamAction.DeliverEnd(new EventId(generation, nextOffset), finishReason));
        }
        acknowledge(actions);
    }

    private List<StreamAction> retryOrClose(ErrorKind kind, RunOutcome outcome) {
        boolean mayRunAgain = isRepeatable || outcome == RunOutcome.NOT_RUN;
        if (!mayRunAgain || !RETRYABLE_KINDS.contains(kind)) {
            return close(kind, outcome);
        }
        List<StreamAction> actions = new ArrayList<>();
        if (isDelivered()) {
            if (mode == DeliveryMode.STREAM) {
                return close(ErrorKind.GENERATION_LOST, RunOutcome.RAN);
            }
            actions.add(new StreamAction.DeliverRestart(new EventId(generation, nextOffset)));
        }
        generation = null;
        nextOffset = 0;
        receivedTexts.clear();
        actions.add(new StreamAction.Retry());
        return actions;
    }

    private List<StreamAction> close(ErrorKind kind, RunOutcome outcome) {
        isClosed = true;
        RunOutcome reported = isDelivered() ? RunOutcome.RAN : outcome;
        return List.of(new StreamAction.DeliverError(kind, reported, isDelivered() ? nextOffset : 0));
    }
}
