package io.hornbeamscale.core.entry;

import io.hornbeamscale.core.drain.RunningWork;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.stream.StreamAction;
import io.hornbeamscale.core.work.Payload;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Handles the response events of one entry. Every method returns the actions to carry out, never null. */
public final class ResponseEventHandler {
    private final EntryController controller;
    private final KeyedCalls keyed;

    ResponseEventHandler(EntryController controller, KeyedCalls keyed) {
        this.controller = controller;
        this.keyed = keyed;
    }

    /**
     * Handles tokens.
     *
     * @param attempt the attempt that the frame carries, not null
     * @param generation the generation that the frame carries, not null
     * @param offset the offset of the first token
     * @param texts the texts of the tokens, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> tokens(
            AttemptId attempt, GenerationId generation, long offset, List<String> texts, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        OpenRequest request = controller.findStreaming(attempt, generation, nowMillis);
        if (request == null) {
            cancelUnknown(attempt, generation, actions);
            return actions;
        }
        long before = request.assembler.nextOffset();
        List<StreamAction> streamActions = request.assembler.tokens(attempt, generation, offset, texts, nowMillis);
        int newTokens = (int) (request.assembler.nextOffset() - before);
        if (newTokens > 0 && !request.isResumed()) {
            controller.dispatch(controller.dispatcher().tokens(attempt, newTokens, nowMillis), actions, nowMillis);
        }
        controller.assemble(attempt.request(), request, streamActions, actions, nowMillis);
        return actions;
    }

    /**
     * Handles the end of a generation.
     *
     * @param attempt the attempt that the frame carries, not null
     * @param generation the generation that the frame carries, not null
     * @param totalTokens the number of tokens of the whole generation
     * @param finishReason the engine's reason, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> ended(
            AttemptId attempt, GenerationId generation, long totalTokens, String finishReason, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        OpenRequest request = controller.findStreaming(attempt, generation, nowMillis);
        if (request != null) {
            List<StreamAction> streamActions =
                    request.assembler.ended(attempt, generation, totalTokens, finishReason, nowMillis);
            controller.assemble(attempt.request(), request, streamActions, actions, nowMillis);
        }
        return actions;
    }

    /**
     * Handles the answer to a plain call.
     *
     * @param attempt the attempt that the frame carries, not null
     * @param status the HTTP status
     * @param headers the headers, not null
     * @param body the body, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> answered(
            AttemptId attempt, int status, Map<String, String> headers, Payload body, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        OpenRequest request = controller.findPlain(attempt);
        if (request == null) {
            return actions;
        }
        controller.close(attempt.request());
        actions.add(new EntryAction.Answer(attempt.request(), status, headers, body));
        controller.claims().carryOut(keyed.recordResult(attempt, status, headers, body, nowMillis), actions, nowMillis);
        controller.dispatch(controller.dispatcher().ended(attempt, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Handles the failure of an attempt.
     *
     * @param attempt the attempt that the frame carries, not null
     * @param kind the error, not null
     * @param outcome what is known about the execution, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> failed(AttemptId attempt, ErrorKind kind, RunOutcome outcome, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        OpenRequest request = controller.request(attempt.request());
        if (request == null) {
            return actions;
        }
        controller.fail(attempt, request, kind, outcome, actions, nowMillis);
        return actions;
    }

    /**
     * Returns the waiting and running requests, for the drain controller.
     *
     * @return the requests, never null
     */
    public List<RunningWork> runningWork() {
        List<RunningWork> running = new ArrayList<>();
        controller.forEachOpen((id, request) -> {
            AttemptId attempt = request.currentAttempt == null ? new AttemptId(id, 1) : request.currentAttempt;
            long offset = request.isPlain() ? 0 : request.assembler.nextOffset();
            boolean isDelivered = !request.isPlain() && request.assembler.isDelivered();
            running.add(new RunningWork(attempt, isDelivered, request.isRepeatable(), 0, offset));
        });
        return running;
    }

    /**
     * Ends a request that cannot finish before the process stops.
     *
     * @param id the request, not null
     * @param kind the error, not null
     * @param outcome what is known about the execution, not null
     * @param offset the number of tokens so far
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> abort(RequestId id, ErrorKind kind, RunOutcome outcome, long offset, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        OpenRequest request = controller.request(id);
        if (request != null && controller.close(id)) {
            actions.add(new EntryAction.Fail(id, kind, request.overallOutcome(outcome), 0, offset));
            controller.dispatch(controller.dispatcher().cancelled(id, nowMillis), actions, nowMillis);
        }
        return actions;
    }

    /** Cancels a generation that no request of this entry waits for, such as one whose cancellation was lost. */
    private static void cancelUnknown(AttemptId attempt, GenerationId generation, List<EntryAction> actions) {
        actions.add(new EntryAction.SendCancel(generation.backend(), attempt));
    }
}
