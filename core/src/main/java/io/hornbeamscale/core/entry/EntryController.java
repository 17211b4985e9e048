package io.hornbeamscale.core.entry;

import io.hornbeamscale.core.claim.ClaimAction;
import io.hornbeamscale.core.claim.ClaimController;
import io.hornbeamscale.core.claim.ClaimOwner;
import io.hornbeamscale.core.dispatch.BackendDescriptor;
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
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Coordinates dispatch, claims and the assembly of responses at one entry. Every method returns the actions to carry
 * out, never null. The time is in milliseconds of the process's monotonic clock. Not safe for use by several threads.
 */
public final class EntryController {
    /** How long a stream continues after its caller disconnected, so that the caller can resume it. */
    public static final long ABANDONED_STREAM_MILLIS = 10_000;

    private final Dispatcher dispatcher;
    private final KeyedCalls keyed;
    private final ClaimEventHandler claimEvents;
    private final ResponseEventHandler responseEvents;
    private final LostCalls lostCalls = new LostCalls();
    private final Map<RequestId, OpenRequest> open = new LinkedHashMap<>();
    private boolean isDraining;
    private long droppedFrames;

    /**
     * Creates a controller without requests.
     *
     * @param dispatcher selects the backend servers for requests, not null
     * @param claims prevents a second execution of calls that must not be repeated, not null
     */
    public EntryController(Dispatcher dispatcher, ClaimController claims) {
        this.keyed = new KeyedCalls(Arguments.notNull(claims, "claims"));
        this.claimEvents = new ClaimEventHandler(this, keyed);
        this.responseEvents = new ResponseEventHandler(this, keyed);
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
                : new StreamAssembler(request.mode(), request.work().isRepeatable());
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
        request.currentAttempt = new AttemptId(id, 1);
        request.resumedGeneration = last.generation();
        open.put(id, request);
        assemble(id, request, request.assembler.resumed(request.currentAttempt, last, nowMillis), actions, nowMillis);
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
     * @param retryAfterMillis the recommended delay before a retry in milliseconds, 0 for none
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> refused(
            BackendId backend, AttemptId attempt, ErrorKind kind, long retryAfterMillis, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        OpenRequest request = open.get(attempt.request());
        // A backend server whose reservation was not chosen may refuse as well; that does not concern the hand-over.
        if (request != null && request.isHandedOverTo(attempt, backend)) {
            request.handovers.remove(attempt);
            request.attemptOutcomes.settled(attempt, RunOutcome.NOT_RUN);
            request.setUnusedClaim(keyed.removeUnstarted(attempt));
        }
        dispatch(dispatcher.refused(backend, attempt, kind, retryAfterMillis, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Returns the handler of the response frames that agents send.
     *
     * @return the handler, never null
     */
    public ResponseEventHandler responses() {
        return responseEvents;
    }

    /**
     * Handles a caller that closed its connection. A stream continues for {@link #ABANDONED_STREAM_MILLIS}; a plain
     * call that must not be repeated runs to its end.
     *
     * @param id the request, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> callerDisconnected(RequestId id, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        OpenRequest request = open.get(id);
        if (request == null) {
            return actions;
        }
        if (!request.isPlain() && request.isStreaming() && request.assembler.nextOffset() > 0) {
            request.disconnectedMillis = nowMillis;
        } else if (!request.isPlain() || request.isRepeatable() || request.handovers.isEmpty()) {
            cancel(id, request, actions, nowMillis);
        }
        return actions;
    }

    /**
     * Replaces the backend servers to which the entry may dispatch requests.
     *
     * @param descriptors the backend servers to watch, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<EntryAction> watch(List<BackendDescriptor> descriptors, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        dispatch(dispatcher.watch(descriptors, nowMillis), actions, nowMillis);
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
    public List<EntryAction> connectionLost(BackendId backend, long nowMillis) {
        List<EntryAction> actions = new ArrayList<>();
        dispatch(dispatcher.lost(backend, nowMillis), actions, nowMillis);
        for (Map.Entry<RequestId, OpenRequest> entry : List.copyOf(open.entrySet())) {
            OpenRequest request = entry.getValue();
            if (!request.isPlain() && request.assembler.nextOffset() > 0) {
                assemble(
                        entry.getKey(),
                        request,
                        request.assembler.connectionLost(backend, nowMillis),
                        actions,
                        nowMillis);
                continue;
            }
            for (Map.Entry<AttemptId, OpenRequest.Handover> handover : List.copyOf(request.handovers.entrySet())) {
                if (handover.getValue().backend().equals(backend)) {
                    connectionLost(handover.getKey(), request, actions, nowMillis);
                }
            }
        }
        return actions;
    }

    /**
     * Returns the handler of claim events.
     *
     * @return the handler, never null
     */
    public ClaimEventHandler claims() {
        return claimEvents;
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
        claim(keyed.tick(nowMillis), actions, nowMillis);
        claimEvents.failUnanswered(lostCalls.tick(actions, nowMillis), actions, nowMillis);
        for (Map.Entry<RequestId, OpenRequest> entry : List.copyOf(open.entrySet())) {
            OpenRequest request = entry.getValue();
            if (request.disconnectedMillis >= 0 && nowMillis - request.disconnectedMillis >= ABANDONED_STREAM_MILLIS) {
                cancel(entry.getKey(), request, actions, nowMillis);
            } else if (!request.isPlain()) {
                assemble(entry.getKey(), request, request.assembler.tick(nowMillis), actions, nowMillis);
            }
        }
        return actions;
    }

    /**
     * Returns the number of waiting and running requests.
     *
     * @return the number of requests
     */
    public int openRequests() {
        return open.size();
    }

    /**
     * Returns the number of frames that were dropped because they matched no open request.
     *
     * @return the number of frames
     */
    public long droppedFrames() {
        return droppedFrames;
    }

    private void connectionLost(AttemptId attempt, OpenRequest request, List<EntryAction> actions, long nowMillis) {
        if (keyed.unclaimedStart(attempt) != null) {
            claim(keyed.withdrawn(attempt.request(), nowMillis), actions, nowMillis);
            fail(attempt, request, ErrorKind.NO_BACKEND, RunOutcome.NOT_RUN, actions, nowMillis);
            return;
        }
        if (request.isPlain() && !request.isRepeatable()) {
            lostCalls.add(attempt, request.handovers.get(attempt), actions, nowMillis);
        } else {
            fail(attempt, request, ErrorKind.BACKEND_FAILED, RunOutcome.UNKNOWN, actions, nowMillis);
        }
    }

    /** Finds the plain call that a frame belongs to, null if there is none. */
    OpenRequest findPlain(AttemptId attempt) {
        OpenRequest request = open.get(attempt.request());
        if (request == null || !request.isPlain() || !request.handovers.containsKey(attempt)) {
            droppedFrames++;
            return null;
        }
        return request;
    }

    /** Removes a request; returns whether it was open. */
    boolean close(RequestId id) {
        return open.remove(id) != null;
    }

    OpenRequest request(RequestId id) {
        return open.get(id);
    }

    void forEachOpen(BiConsumer<RequestId, OpenRequest> consumer) {
        open.forEach(consumer);
    }

    LostCalls lostCalls() {
        return lostCalls;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Finds the streamed request of a frame. The first attempt that emits output becomes the current one. */
    OpenRequest findStreaming(AttemptId attempt, GenerationId generation, long nowMillis) {
        OpenRequest request = open.get(attempt.request());
        if (request == null || request.isPlain()) {
            droppedFrames++;
            return null;
        }
        if (!attempt.equals(request.currentAttempt)
                && request.handovers.containsKey(attempt)
                && request.assembler.nextOffset() == 0) {
            request.currentAttempt = attempt;
            request.assembler.handedOver(attempt, request.handovers.get(attempt).generation(), nowMillis);
        }
        return request;
    }

    void fail(
            AttemptId attempt,
            OpenRequest request,
            ErrorKind kind,
            RunOutcome outcome,
            List<EntryAction> actions,
            long nowMillis) {
        OpenRequest.Handover handover = request.handovers.remove(attempt);
        request.attemptOutcomes.settled(attempt, outcome);
        if (outcome == RunOutcome.NOT_RUN) {
            request.setUnusedClaim(keyed.removeUnstarted(attempt));
        } else {
            keyed.forget(attempt);
        }
        if (!request.isPlain() && attempt.equals(request.currentAttempt)) {
            GenerationId generation = handover == null ? request.resumedGeneration : handover.generation();
            List<StreamAction> streamActions = request.assembler.failed(attempt, generation, kind, outcome, nowMillis);
            settle(attempt.request(), request, streamActions, kind, outcome, actions, nowMillis);
        } else if (!request.isResumed()) {
            dispatch(dispatcher.failed(attempt, kind, outcome, false, nowMillis), actions, nowMillis);
        }
    }

    private void cancel(RequestId id, OpenRequest request, List<EntryAction> actions, long nowMillis) {
        open.remove(id);
        claim(keyed.withdrawn(id, nowMillis), actions, nowMillis);
        if (request.isResumed()) {
            actions.add(new EntryAction.SendCancel(request.resumedGeneration.backend(), request.currentAttempt));
        } else {
            dispatch(dispatcher.cancelled(id, nowMillis), actions, nowMillis);
        }
    }

    void assemble(
            RequestId id,
            OpenRequest request,
            List<StreamAction> streamActions,
            List<EntryAction> actions,
            long nowMillis) {
        settle(id, request, streamActions, ErrorKind.GENERATION_LOST, RunOutcome.UNKNOWN, actions, nowMillis);
    }

    private void settle(
            RequestId id,
            OpenRequest request,
            List<StreamAction> streamActions,
            ErrorKind kind,
            RunOutcome outcome,
            List<EntryAction> actions,
            long nowMillis) {
        for (StreamAction action : streamActions) {
            if (StreamActionTranslator.translate(id, request, action, actions)) {
                continue;
            }
            if (action instanceof StreamAction.DeliverEnd a) {
                finish(
                        id,
                        request,
                        new EntryAction.Finish(id, a.id(), List.of(), a.finishReason()),
                        actions,
                        nowMillis);
            } else if (action instanceof StreamAction.DeliverWhole a) {
                EventId end = new EventId(a.generation(), a.texts().size());
                finish(id, request, new EntryAction.Finish(id, end, a.texts(), a.finishReason()), actions, nowMillis);
            } else if (action instanceof StreamAction.DeliverError a) {
                open.remove(id);
                actions.add(new EntryAction.Fail(id, a.kind(), request.overallOutcome(a.outcome()), 0, a.offset()));
                if (!request.isResumed()) {
                    dispatch(
                            dispatcher.failed(request.currentAttempt, a.kind(), a.outcome(), true, nowMillis),
                            actions,
                            nowMillis);
                }
            } else if (action instanceof StreamAction.Retry) {
                dispatch(
                        dispatcher.failed(request.currentAttempt, kind, outcome, false, nowMillis), actions, nowMillis);
            }
        }
    }

    private void finish(
            RequestId id, OpenRequest request, EntryAction.Finish end, List<EntryAction> actions, long nowMillis) {
        open.remove(id);
        actions.add(end);
        if (!request.isResumed()) {
            dispatch(dispatcher.ended(request.currentAttempt, nowMillis), actions, nowMillis);
        }
    }

    void dispatch(List<DispatchAction> dispatchActions, List<EntryAction> actions, long nowMillis) {
        for (DispatchAction action : dispatchActions) {
            if (action instanceof DispatchAction.SendReserve a) {
                actions.add(new EntryAction.SendReserve(a.backend(), a.attempt(), a.work()));
            } else if (action instanceof DispatchAction.SendCancel a) {
                actions.add(new EntryAction.SendCancel(a.backend(), a.attempt()));
            } else if (action instanceof DispatchAction.SendStart a) {
                handOver(a, actions, nowMillis);
            } else if (action instanceof DispatchAction.RejectCaller a) {
                OpenRequest request = open.remove(a.request());
                if (request != null) {
                    RunOutcome outcome = request.overallOutcome(a.outcome());
                    actions.add(new EntryAction.Fail(a.request(), a.kind(), outcome, a.retryAfterMillis(), 0));
                    releaseUnused(request, request.unusedClaim, actions, nowMillis);
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
            request.currentAttempt = start.attempt();
            request.assembler.handedOver(start.attempt(), generation, nowMillis);
        }
        if (request.needsClaim()) {
            ClaimOwner earlier = request.unusedClaim;
            request.unusedClaim = null;
            claim(keyed.requestClaim(start, request.submitted, earlier, nowMillis), actions, nowMillis);
        } else {
            sendStart(start, request, 0, actions);
        }
    }

    static void sendStart(
            DispatchAction.SendStart start, OpenRequest request, long claimVersion, List<EntryAction> actions) {
        request.attemptOutcomes.handedOver(start.attempt());
        actions.add(new EntryAction.SendStart(
                start.backend(),
                start.attempt(),
                start.grant(),
                request.submitted.call(),
                start.work().deadlineMillis(),
                claimVersion));
    }

    private void claim(List<ClaimAction> claimActions, List<EntryAction> actions, long nowMillis) {
        claimEvents.carryOut(claimActions, actions, nowMillis);
    }

    void releaseUnused(OpenRequest request, ClaimOwner owner, List<EntryAction> actions, long nowMillis) {
        if (request != null && request.submitted != null && owner != null) {
            claim(keyed.released(request.submitted, owner, nowMillis), actions, nowMillis);
        }
    }
}
