package io.hornbeamscale.core.entry;

import io.hornbeamscale.core.dispatch.BackendPlace;
import io.hornbeamscale.core.dispatch.DispatchAction;
import io.hornbeamscale.core.dispatch.Dispatcher;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.stream.DeliveryMode;
import io.hornbeamscale.core.stream.EventId;
import io.hornbeamscale.core.stream.StreamAction;
import io.hornbeamscale.core.stream.StreamAssembler;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.Payload;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Composes the decisions of one entry: dispatch and the assembly of responses. Every method returns the actions to
 * carry out, never null. The time is in milliseconds of the process's monotonic clock. Not safe for use by several
 * threads.
 */
public final class EntryController {
    /** How long a stream goes on without its caller, which may resume it after a lost connection. */
    public static final long ABANDONED_MILLIS = 2_000;

    private final Dispatcher dispatcher;
    private final Map<RequestId, OpenRequest> open = new LinkedHashMap<>();
    private boolean isDraining;
    private long droppedFrames;

    /**
     * Creates a controller without requests.
     *
     * @param dispatcher decides where requests run, not null
     */
    public EntryController(Dispatcher dispatcher) {
        this.dispatcher = Arguments.notNull(dispatcher, "dispatcher");
    }

    /**
     * Accepts a request.
     *
     * @param request the request, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> submit(EntryRequest request, long nowMillis) {
        Arguments.notNull(request, "request");
        RequestId id = request.work().request();
        if (isDraining) {
            return List.of(new EntryAction.Fail(id, ErrorKind.DRAINING, RunOutcome.NOT_RUN, 1_000, 0));
        }
        List<EntryAction> actions = new ArrayList<>();
        StreamAssembler assembler = request.work().isPlain()
                ? null
                : new StreamAssembler(mode(request), request.work().isRepeatable());
        open.put(id, new OpenRequest(request, assembler, request.work().customer()));
        dispatch(dispatcher.submit(request.work(), nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Continues a stream after the last event that the caller received.
     *
     * @param id the id of the new request, not null
     * @param customer the calling customer, not null
     * @param last the id of the last event, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> resume(RequestId id, CustomerId customer, EventId last, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        OpenRequest request = new OpenRequest(null, new StreamAssembler(DeliveryMode.STREAM, false), customer);
        request.current = new AttemptId(id, 1);
        request.resumedGeneration = last.generation();
        open.put(id, request);
        assemble(id, request, request.assembler.resumed(request.current, last, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Handles a grant.
     *
     * @param backend the granting backend server, not null
     * @param attempt the attempt, not null
     * @param grant the grant, not null
     * @param validMillis how long the grant is valid, in milliseconds
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> granted(
            BackendId backend, AttemptId attempt, GrantId grant, long validMillis, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        dispatch(dispatcher.granted(backend, attempt, grant, validMillis, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Handles the refusal of a reservation or a start.
     *
     * @param backend the refusing backend server, not null
     * @param attempt the attempt, not null
     * @param kind the reason, not null
     * @param retryAfterMillis the advised pause in milliseconds, 0 for none
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> refused(
            BackendId backend, AttemptId attempt, ErrorKind kind, long retryAfterMillis, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        OpenRequest request = open.get(attempt.request());
        if (request != null) {
            request.handovers.remove(attempt);
        }
        dispatch(dispatcher.refused(backend, attempt, kind, retryAfterMillis, nowMillis), actions, nowMillis);
        return actions;
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
        OpenRequest request = find(attempt, generation, nowMillis);
        if (request == null) {
            cancelUnknown(attempt, generation, actions);
            return actions;
        }
        long before = request.assembler.nextOffset();
        List<StreamAction> assembled = request.assembler.tokens(attempt, generation, offset, texts, nowMillis);
        int fresh = (int) (request.assembler.nextOffset() - before);
        if (fresh > 0 && !request.isResumed()) {
            dispatch(dispatcher.tokens(attempt, fresh, nowMillis), actions, nowMillis);
        }
        assemble(attempt.request(), request, assembled, actions, nowMillis);
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
        OpenRequest request = find(attempt, generation, nowMillis);
        if (request != null) {
            List<StreamAction> assembled =
                    request.assembler.ended(attempt, generation, totalTokens, finishReason, nowMillis);
            assemble(attempt.request(), request, assembled, actions, nowMillis);
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
        OpenRequest request = open.get(attempt.request());
        if (request == null || !request.isPlain() || !request.handovers.containsKey(attempt)) {
            droppedFrames++;
            return actions;
        }
        open.remove(attempt.request());
        actions.add(new EntryAction.Answer(attempt.request(), status, headers, body));
        dispatch(dispatcher.ended(attempt, nowMillis), actions, nowMillis);
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
        OpenRequest request = open.get(attempt.request());
        if (request == null) {
            droppedFrames++;
            return actions;
        }
        fail(attempt, request, kind, outcome, actions, nowMillis);
        return actions;
    }

    /**
     * Handles a caller that went away. A stream goes on for {@link #ABANDONED_MILLIS}; a plain call that must not be
     * repeated goes on to its end.
     *
     * @param id the request, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> callerGone(RequestId id, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        OpenRequest request = open.get(id);
        if (request == null) {
            return actions;
        }
        if (!request.isPlain() && request.isStreaming() && request.assembler.nextOffset() > 0) {
            request.goneMillis = nowMillis;
        } else if (!request.isPlain() || request.isRepeatable() || request.handovers.isEmpty()) {
            cancel(id, request, actions, nowMillis);
        }
        return actions;
    }

    /**
     * Replaces the backend servers that the entry watches.
     *
     * @param places the backend servers, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> watch(List<BackendPlace> places, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        dispatch(dispatcher.watch(places, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Handles the status of a backend server.
     *
     * @param status the status, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> status(BackendStatus status, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        dispatch(dispatcher.status(status, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Handles the loss of the connection to an agent. Work that has emitted nothing runs again elsewhere if it may be
     * repeated; started streams are resumed once the agent is back.
     *
     * @param backend the backend server of the agent, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> lost(BackendId backend, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        dispatch(dispatcher.lost(backend, nowMillis), actions, nowMillis);
        for (Map.Entry<RequestId, OpenRequest> entry : List.copyOf(open.entrySet())) {
            OpenRequest request = entry.getValue();
            if (!request.isPlain() && request.assembler.nextOffset() > 0) {
                assemble(entry.getKey(), request, request.assembler.linkLost(backend, nowMillis), actions, nowMillis);
                continue;
            }
            for (Map.Entry<AttemptId, OpenRequest.Handover> handover : List.copyOf(request.handovers.entrySet())) {
                if (handover.getValue().backend().equals(backend)) {
                    ErrorKind kind = request.isRepeatable() ? ErrorKind.BACKEND_FAILED : ErrorKind.OUTCOME_UNKNOWN;
                    fail(handover.getKey(), request, kind, RunOutcome.UNKNOWN, actions, nowMillis);
                }
            }
        }
        return actions;
    }

    /**
     * Refuses new requests from now on.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> drain(long nowMillis) {
        isDraining = true;
        return List.of();
    }

    /**
     * Checks deadlines. Called every few milliseconds to tens of milliseconds.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> tick(long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        dispatch(dispatcher.tick(nowMillis), actions, nowMillis);
        for (Map.Entry<RequestId, OpenRequest> entry : List.copyOf(open.entrySet())) {
            OpenRequest request = entry.getValue();
            if (request.goneMillis >= 0 && nowMillis - request.goneMillis >= ABANDONED_MILLIS) {
                cancel(entry.getKey(), request, actions, nowMillis);
            } else if (!request.isPlain()) {
                assemble(entry.getKey(), request, request.assembler.tick(nowMillis), actions, nowMillis);
            }
        }
        return actions;
    }

    /**
     * Returns the number of requests that wait or run.
     *
     * @return the number of requests
     */
    public int openRequests() {
        return open.size();
    }

    /**
     * Returns the number of frames that belonged to no request.
     *
     * @return the number of frames
     */
    public long droppedFrames() {
        return droppedFrames;
    }

    private static DeliveryMode mode(EntryRequest request) {
        if (!request.isStreaming()) {
            return DeliveryMode.WHOLE;
        }
        return request.mayRestart() ? DeliveryMode.STREAM_OR_RESTART : DeliveryMode.STREAM;
    }

    /** Finds the request of a frame. The first attempt that emits becomes the one whose output is delivered. */
    private OpenRequest find(AttemptId attempt, GenerationId generation, long nowMillis) {
        OpenRequest request = open.get(attempt.request());
        if (request == null || request.isPlain()) {
            droppedFrames++;
            return null;
        }
        if (!attempt.equals(request.current)
                && request.handovers.containsKey(attempt)
                && request.assembler.nextOffset() == 0) {
            request.current = attempt;
            request.assembler.handedOver(attempt, generation, nowMillis);
        }
        return request;
    }

    /** Stops a generation that nobody at this entry waits for, such as one whose cancellation was lost. */
    private static void cancelUnknown(AttemptId attempt, GenerationId generation, List<EntryAction> actions) {
        actions.add(new EntryAction.SendCancel(generation.backend(), attempt));
    }

    private void fail(
            AttemptId attempt,
            OpenRequest request,
            ErrorKind kind,
            RunOutcome outcome,
            List<EntryAction> actions,
            long nowMillis) {
        OpenRequest.Handover handover = request.handovers.remove(attempt);
        if (!request.isPlain() && attempt.equals(request.current)) {
            GenerationId generation = handover == null ? request.resumedGeneration : handover.generation();
            List<StreamAction> assembled = request.assembler.failed(attempt, generation, kind, outcome, nowMillis);
            settle(attempt.request(), request, assembled, kind, outcome, actions, nowMillis);
        } else if (!request.isResumed()) {
            dispatch(dispatcher.failed(attempt, kind, outcome, false, nowMillis), actions, nowMillis);
        }
    }

    private void cancel(RequestId id, OpenRequest request, List<EntryAction> actions, long nowMillis) {
        open.remove(id);
        if (request.isResumed()) {
            actions.add(new EntryAction.SendCancel(request.resumedGeneration.backend(), request.current));
        } else {
            dispatch(dispatcher.cancelled(id, nowMillis), actions, nowMillis);
        }
    }

    private void assemble(
            RequestId id,
            OpenRequest request,
            List<StreamAction> assembled,
            List<EntryAction> actions,
            long nowMillis) {
        settle(id, request, assembled, ErrorKind.GENERATION_LOST, RunOutcome.UNKNOWN, actions, nowMillis);
    }

    private void settle(
            RequestId id,
            OpenRequest request,
            List<StreamAction> assembled,
            ErrorKind kind,
            RunOutcome outcome,
            List<EntryAction> actions,
            long nowMillis) {
        for (StreamAction action : assembled) {
            if (action instanceof StreamAction.Deliver a) {
                actions.add(new EntryAction.Deliver(id, a.id(), a.texts()));
            } else if (action instanceof StreamAction.DeliverEnd a) {
                finish(
                        id,
                        request,
                        new EntryAction.Finish(id, a.id(), List.of(), a.finishReason()),
                        actions,
                        nowMillis);
            } else if (action instanceof StreamAction.DeliverWhole a) {
                EventId end = new EventId(a.generation(), a.texts().size());
                finish(id, request, new EntryAction.Finish(id, end, a.texts(), a.finishReason()), actions, nowMillis);
            } else if (action instanceof StreamAction.DeliverRestart a) {
                actions.add(new EntryAction.Restart(id, a.lost()));
            } else if (action instanceof StreamAction.DeliverError a) {
                open.remove(id);
                actions.add(new EntryAction.Fail(id, a.kind(), a.outcome(), 0, a.offset()));
                if (!request.isResumed()) {
                    dispatch(
                            dispatcher.failed(request.current, a.kind(), a.outcome(), true, nowMillis),
                            actions,
                            nowMillis);
                }
            } else if (action instanceof StreamAction.RunAgain) {
                dispatch(dispatcher.failed(request.current, kind, outcome, false, nowMillis), actions, nowMillis);
            } else if (action instanceof StreamAction.SendAck a) {
                actions.add(
                        new EntryAction.SendAck(a.generation().backend(), request.current, a.generation(), a.offset()));
            } else if (action instanceof StreamAction.SendResume a) {
                actions.add(new EntryAction.SendResume(
                        a.generation().backend(), request.current, request.customer, a.generation(), a.offset()));
            }
        }
    }

    private void finish(
            RequestId id, OpenRequest request, EntryAction.Finish end, List<EntryAction> actions, long nowMillis) {
        open.remove(id);
        actions.add(end);
        if (!request.isResumed()) {
            dispatch(dispatcher.ended(request.current, nowMillis), actions, nowMillis);
        }
    }

    private void dispatch(List<DispatchAction> dispatched, List<EntryAction> actions, long nowMillis) {
        for (DispatchAction action : dispatched) {
            if (action instanceof DispatchAction.SendReserve a) {
                actions.add(new EntryAction.SendReserve(a.backend(), a.attempt(), a.work()));
            } else if (action instanceof DispatchAction.SendCancel a) {
                actions.add(new EntryAction.SendCancel(a.backend(), a.attempt()));
            } else if (action instanceof DispatchAction.SendStart a) {
                handOver(a, actions, nowMillis);
            } else if (action instanceof DispatchAction.RejectCaller a) {
                OpenRequest request = open.remove(a.request());
                if (request != null) {
                    actions.add(new EntryAction.Fail(a.request(), a.kind(), a.outcome(), a.retryAfterMillis(), 0));
                }
            }
        }
    }

    private void handOver(DispatchAction.SendStart start, List<EntryAction> actions, long nowMillis) {
        OpenRequest request = open.get(start.attempt().request());
        if (request == null) {
            actions.add(new EntryAction.SendCancel(start.backend(), start.attempt()));
            return;
        }
        GenerationId generation = StreamAssembler.generationOf(start.backend(), start.grant());
        request.handovers.put(start.attempt(), new OpenRequest.Handover(start.backend(), start.grant(), generation));
        if (!request.isPlain() && request.assembler.nextOffset() == 0) {
            request.current = start.attempt();
            request.assembler.handedOver(start.attempt(), generation, nowMillis);
        }
        actions.add(new EntryAction.SendStart(
                start.backend(),
                start.attempt(),
                start.grant(),
                request.request.call(),
                start.work().deadlineMillis(),
                0));
    }
}
