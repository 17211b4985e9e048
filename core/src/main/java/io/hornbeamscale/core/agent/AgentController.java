package io.hornbeamscale.core.agent;

import io.hornbeamscale.core.attempt.AttemptLedger;
import io.hornbeamscale.core.attempt.LedgerAction;
import io.hornbeamscale.core.drain.RunningWork;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.schedule.EngineScheduler;
import io.hornbeamscale.core.schedule.ScheduleAction;
import io.hornbeamscale.core.stream.GenerationReader;
import io.hornbeamscale.core.stream.RetentionAction;
import io.hornbeamscale.core.stream.RetentionBuffer;
import io.hornbeamscale.core.stream.StreamAssembler;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.work.BackendCall;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.EngineLoad;
import io.hornbeamscale.core.work.Payload;
import io.hornbeamscale.core.work.Reservation;
import io.hornbeamscale.core.work.WorkItem;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Coordinates scheduling, the attempt ledger and the retained output of one agent. Every method returns the actions to
 * carry out, never null. The time is in milliseconds of the process's monotonic clock. Not safe for use by several
 * threads.
 */
public final class AgentController {
    private final BackendId backend;
    private final EngineScheduler scheduler;
    private final AttemptLedger ledger;
    private final RetentionBuffer retention;
    private final Map<AttemptId, Reservation> reservations = new HashMap<>();
    private final Map<GenerationId, RunningCall> running = new LinkedHashMap<>();
    private final Map<AttemptId, GenerationId> generations = new HashMap<>();
    private final AnswerCache answers = new AnswerCache();

    /**
     * Creates a controller without work.
     *
     * @param backend the backend server that the agent manages, not null
     * @param scheduler decides when work starts, not null
     * @param ledger records attempts, not null
     * @param retention keeps output, not null
     */
    public AgentController(
            BackendId backend, EngineScheduler scheduler, AttemptLedger ledger, RetentionBuffer retention) {
        this.backend = Arguments.notNull(backend, "backend");
        this.scheduler = Arguments.notNull(scheduler, "scheduler");
        this.ledger = Arguments.notNull(ledger, "ledger");
        this.retention = Arguments.notNull(retention, "retention");
    }

    /**
     * Handles a reservation.
     *
     * @param reservation the reservation, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> reserve(Reservation reservation, long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        reservations.put(reservation.attempt(), reservation);
        schedule(scheduler.reserve(reservation, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Handles the withdrawal of a reservation or the cancellation of a running attempt. A running attempt continues
     * while another entry reads its output.
     *
     * @param entry the entry that cancels, not null
     * @param attempt the attempt, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> cancel(NodeId entry, AttemptId attempt, long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        GenerationId generation = generations.get(attempt);
        RunningCall call = generation == null ? null : running.get(generation);
        if (call == null) {
            reservations.remove(attempt);
            ledger.cancelled(attempt, nowMillis);
            schedule(scheduler.cancel(attempt, nowMillis), actions, nowMillis);
            return actions;
        }
        call.readers().remove(new GenerationReader(entry, attempt));
        generations.remove(attempt);
        if (call.readers().isEmpty()) {
            actions.add(new AgentAction.CancelCall(generation));
            fail(call, ErrorKind.CANCELLED, RunOutcome.RAN, actions, nowMillis);
        }
        return actions;
    }

    /**
     * Handles the hand-over of a request.
     *
     * @param entry the entry, not null
     * @param attempt the attempt, not null
     * @param grant the grant named by the request, not null
     * @param call the call, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> start(NodeId entry, AttemptId attempt, GrantId grant, BackendCall call, long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        for (LedgerAction action : ledger.start(attempt, grant, nowMillis)) {
            if (action instanceof LedgerAction.Run) {
                run(entry, attempt, grant, call, actions, nowMillis);
            } else if (action instanceof LedgerAction.RefuseStart refusal) {
                refuse(entry, refusal, actions);
            } else if (generations.containsKey(attempt)) {
                actions.add(new AgentAction.SendStarted(entry, attempt, generations.get(attempt)));
            }
        }
        return actions;
    }

    /**
     * Handles tokens from the engine.
     *
     * @param generation the generation, not null
     * @param offset the offset of the first token
     * @param texts the texts of the tokens, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> engineTokens(GenerationId generation, long offset, List<String> texts, long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        retain(retention.tokens(generation, offset, texts, nowMillis), actions, nowMillis);
        RunningCall call = running.get(generation);
        if (call != null) {
            int newTokens = call.recordTokens(offset, texts.size());
            if (newTokens > 0) {
                schedule(scheduler.tokens(call.attempt(), newTokens, nowMillis), actions, nowMillis);
            }
        }
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
    public List<AgentAction> engineEnded(
            GenerationId generation, long totalTokens, String finishReason, long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        retain(retention.ended(generation, totalTokens, finishReason, nowMillis), actions, nowMillis);
        RunningCall call = running.get(generation);
        if (call != null && call.emittedTokens() >= totalTokens) {
            finish(call, true, actions, nowMillis);
        }
        return actions;
    }

    /**
     * Handles the answer to a plain call.
     *
     * @param generation the generation, not null
     * @param status the HTTP status
     * @param headers the headers, not null
     * @param body the body, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> backendAnswered(
            GenerationId generation, int status, Map<String, String> headers, Payload body, long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        RunningCall call = running.get(generation);
        if (call == null) {
            return actions;
        }
        if (!call.work().isRepeatable()) {
            answers.add(call.attempt(), status, headers.getOrDefault("content-type", ""), body);
        }
        call.addAnswers(status, headers, body, actions);
        finish(call, true, actions, nowMillis);
        return actions;
    }

    /**
     * Handles a call that did not reach the backend server because the connection was refused.
     *
     * @param generation the generation, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> backendNotReached(GenerationId generation, long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        RunningCall call = running.get(generation);
        if (call == null) {
            return actions;
        }
        for (LedgerAction action : ledger.undoStart(call.attempt(), call.grant(), nowMillis)) {
            if (action instanceof LedgerAction.RefuseStart refusal) {
                refuse(call.entry(), refusal, actions);
            }
        }
        call.readers().clear();
        fail(call, ErrorKind.NO_BACKEND, RunOutcome.NOT_RUN, actions, nowMillis);
        return actions;
    }

    /**
     * Handles a call that failed.
     *
     * @param generation the generation, not null
     * @param kind the error, not null
     * @param outcome what is known about the execution, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> backendFailed(
            GenerationId generation, ErrorKind kind, RunOutcome outcome, long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        RunningCall call = running.get(generation);
        if (call == null) {
            retain(retention.failed(generation, kind, outcome, nowMillis), actions, nowMillis);
        } else {
            fail(call, kind, outcome, actions, nowMillis);
        }
        return actions;
    }

    /**
     * Handles a request for the tokens of a generation.
     *
     * @param reader the entry and the attempt that the frames carry, not null
     * @param customer the requesting customer, not null
     * @param generation the generation, not null
     * @param offset the first token to send
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> resume(
            GenerationReader reader, CustomerId customer, GenerationId generation, long offset, long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        RunningCall call = running.get(generation);
        if (call != null && call.work().customer().equals(customer)) {
            call.readers().add(reader);
            generations.put(reader.attempt(), generation);
        }
        retain(retention.resume(generation, customer, reader, offset, nowMillis), actions, nowMillis);
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
    public List<AgentAction> acknowledged(GenerationId generation, long offset, long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        retain(retention.acknowledged(generation, offset, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Handles a revocation.
     *
     * @param entry the requesting entry, not null
     * @param attempt the attempt, not null
     * @param grant the grant of the attempt, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> revoke(NodeId entry, AttemptId attempt, GrantId grant, long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        for (LedgerAction action : ledger.revoke(attempt, grant, nowMillis)) {
            if (action instanceof LedgerAction.AnswerRevoke answer) {
                if (answer.isNeverStarted()) {
                    reservations.remove(attempt);
                    schedule(scheduler.cancel(attempt, nowMillis), actions, nowMillis);
                }
                actions.add(answers.revokeAnswer(entry, answer));
            }
        }
        return actions;
    }

    /**
     * Handles the loss of the connection to an entry. Its reservations are dropped; its running work continues for a
     * bounded time.
     *
     * @param entry the entry, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> entryConnectionLost(NodeId entry, long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        for (Reservation reservation : List.copyOf(reservations.values())) {
            if (reservation.entry().equals(entry)) {
                reservations.remove(reservation.attempt());
                ledger.cancelled(reservation.attempt(), nowMillis);
                schedule(scheduler.cancel(reservation.attempt(), nowMillis), actions, nowMillis);
            }
        }
        running.values().forEach(call -> call.readers().removeIf(r -> r.entry().equals(entry)));
        retain(retention.entryConnectionLost(entry, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Records a stream of an earlier agent incarnation that the engine still holds.
     *
     * @param generation the generation under which it was started, not null
     * @param customer the customer that owns it, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> engineStreamFound(GenerationId generation, CustomerId customer, long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        retain(retention.reattached(generation, customer, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Records that all streams of earlier incarnations have been reported.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> rebuildCompleted(long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        retain(retention.rebuildCompleted(nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Handles a load report of the engine.
     *
     * @param load the report, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> load(EngineLoad load, long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        schedule(scheduler.load(load, nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Refuses new work from now on.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> drain(long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        ledger.drain(nowMillis);
        schedule(scheduler.drain(nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Applies deadlines and size limits. Called every few tens of milliseconds.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<AgentAction> tick(long nowMillis) {
        List<AgentAction> actions = new ArrayList<>();
        ledger.tick(nowMillis);
        schedule(scheduler.tick(nowMillis), actions, nowMillis);
        retain(retention.tick(nowMillis), actions, nowMillis);
        return actions;
    }

    /**
     * Returns the status to send to the entries.
     *
     * @param nowMillis the present time
     * @return the status, never null
     */
    public BackendStatus status(long nowMillis) {
        return scheduler.status(nowMillis);
    }

    /**
     * Returns the calls on the backend server, for the drain controller.
     *
     * @return the calls, never null
     */
    public List<RunningWork> runningWork() {
        return running.values().stream().map(RunningCall::toRunningWork).toList();
    }

    /**
     * Returns the generation of an attempt that runs.
     *
     * @param attempt the attempt, not null
     * @return the generation, null if the attempt does not run
     */
    public GenerationId generationOf(AttemptId attempt) {
        return generations.get(attempt);
    }

    /**
     * Returns the number of generations that no entry has received in full.
     *
     * @return the number of generations
     */
    public int unacknowledgedGenerations() {
        return retention.unacknowledgedGenerations();
    }

    private void run(
            NodeId entry, AttemptId attempt, GrantId grant, BackendCall call, List<AgentAction> out, long nowMillis) {
        Reservation reservation = reservations.remove(attempt);
        if (reservation == null || !scheduler.start(attempt, grant, nowMillis)) {
            for (LedgerAction action : ledger.undoStart(attempt, grant, nowMillis)) {
                if (action instanceof LedgerAction.RefuseStart) {
                    out.add(new AgentAction.SendRefuse(entry, attempt, ErrorKind.GRANT_EXPIRED, 0));
                }
            }
            return;
        }
        GenerationId generation = StreamAssembler.generationOf(backend, grant);
        GenerationReader reader = new GenerationReader(entry, attempt);
        WorkItem work = reservation.work();
        running.put(generation, new RunningCall(generation, attempt, grant, entry, work, reader));
        generations.put(attempt, generation);
        if (!work.isPlain()) {
            retain(retention.started(generation, work.customer(), reader, nowMillis), out, nowMillis);
        }
        out.add(new AgentAction.SendStarted(entry, attempt, generation));
        out.add(new AgentAction.StartCall(generation, work, call));
    }

    private static void refuse(NodeId entry, LedgerAction.RefuseStart refusal, List<AgentAction> actions) {
        if (refusal.outcome() == RunOutcome.NOT_RUN) {
            actions.add(new AgentAction.SendRefuse(entry, refusal.attempt(), refusal.kind(), 0));
        } else {
            actions.add(new AgentAction.SendFailed(entry, refusal.attempt(), "", refusal.kind(), refusal.outcome(), 0));
        }
    }

    private void fail(RunningCall call, ErrorKind kind, RunOutcome outcome, List<AgentAction> actions, long nowMillis) {
        if (call.work().isPlain()) {
            for (GenerationReader reader : call.readers()) {
                actions.add(new AgentAction.SendFailed(
                        reader.entry(), reader.attempt(), call.generation().toString(), kind, outcome, 0));
            }
        } else {
            retain(retention.failed(call.generation(), kind, outcome, nowMillis), actions, nowMillis);
        }
        finish(call, false, actions, nowMillis);
    }

    private void finish(RunningCall call, boolean isComplete, List<AgentAction> actions, long nowMillis) {
        running.remove(call.generation());
        generations.values().removeIf(call.generation()::equals);
        ledger.ended(call.attempt(), call.grant(), nowMillis);
        schedule(scheduler.ended(call.attempt(), isComplete, nowMillis), actions, nowMillis);
    }

    private void schedule(List<ScheduleAction> scheduleActions, List<AgentAction> actions, long nowMillis) {
        for (ScheduleAction action : scheduleActions) {
            if (action instanceof ScheduleAction.SendGrant grant) {
                if (ledger.granted(grant.attempt(), grant.grant(), grant.validMillis(), nowMillis)) {
                    actions.add(new AgentAction.SendGrant(
                            grant.entry(), grant.attempt(), grant.grant(), grant.validMillis()));
                }
            } else if (action instanceof ScheduleAction.SendRefuse refuse) {
                reservations.remove(refuse.attempt());
                actions.add(new AgentAction.SendRefuse(
                        refuse.entry(), refuse.attempt(), refuse.kind(), refuse.retryAfterMillis()));
            }
        }
    }

    private void retain(List<RetentionAction> retentionActions, List<AgentAction> actions, long nowMillis) {
        for (RetentionAction action : retentionActions) {
            actions.add(RetentionActionTranslator.translate(action));
            if (action instanceof RetentionAction.CancelGeneration cancel && running.containsKey(cancel.generation())) {
                finish(running.get(cancel.generation()), false, actions, nowMillis);
            }
        }
    }
}
