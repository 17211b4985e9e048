package io.hornbeamscale.core.faults;

import io.hornbeamscale.core.attempt.AttemptLedger;
import io.hornbeamscale.core.attempt.AttemptState;
import io.hornbeamscale.core.attempt.LedgerAction;
import io.hornbeamscale.core.attempt.LedgerLimits;
import io.hornbeamscale.core.attempt.ResultBuffer;
import io.hornbeamscale.core.drain.DrainAction;
import io.hornbeamscale.core.drain.DrainController;
import io.hornbeamscale.core.drain.DrainReason;
import io.hornbeamscale.core.drain.RunningWork;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.fence.FenceAction;
import io.hornbeamscale.core.fence.FenceGuard;
import io.hornbeamscale.core.fence.FencedCommand;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.quarantine.CrashReporter;
import io.hornbeamscale.core.quarantine.RequestFingerprint;
import io.hornbeamscale.core.stream.GenerationReader;
import io.hornbeamscale.core.stream.RetentionAction;
import io.hornbeamscale.core.stream.RetentionBuffer;
import io.hornbeamscale.core.stream.RetentionLimits;
import io.hornbeamscale.core.stream.StreamAssembler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** A simulated agent that composes the agent's controllers. */
class SimAgent extends SimProcess {
    private static final int MAX_RUNNING = 3;
    private static final long GRANT_TTL_MILLIS = 1_500;

    final BackendId backendId;
    final SimBackend backend;
    long drainStartMillis = -1;
    private AttemptLedger ledger;
    private RetentionBuffer buffer;
    private ResultBuffer<String> results;
    private CrashReporter crashes;
    private DrainController drain;
    private FenceGuard fence;
    private long unpersistedFence;
    private long sequence;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final Map<AttemptId, Granted> granted = new LinkedHashMap<>();
    private final Map<GrantId, Running> running = new LinkedHashMap<>();

    SimAgent(FaultSimulation sim, String name) {
        super(sim, name);
        backendId = new BackendId(name);
        backend = new SimBackend(sim, this);
        createControllers(false);
    }

    private void createControllers(boolean isRebuilding) {
        ledger = new AttemptLedger(incarnation, new LedgerLimits(GRANT_TTL_MILLIS, 4_096, 100));
        buffer = new RetentionBuffer(new RetentionLimits(60_000, 1 << 20, 20_000, 1 << 16), isRebuilding);
        results = new ResultBuffer<>(60_000, 1 << 20);
        crashes = new CrashReporter(backendId, incarnation);
        drain = new DrainController(60_000);
        fence = new FenceGuard(backendId, incarnation, new SplittableRandom(sim.random.nextLong()));
        unpersistedFence = 0;
        sequence = 0;
        drainStartMillis = -1;
        waiting.clear();
        granted.clear();
        running.clear();
    }

    @Override
    void failed() {
        createControllers(true);
    }

    @Override
    void restarted() {
        createControllers(true);
        long started = incarnation;
        sim.after(
                sim.random.nextInt(100),
                () -> run(started, () -> {
                    for (SimBackend.Stream stream : List.copyOf(backend.streams.values())) {
                        apply(buffer.reattached(stream.id, stream.call.customer(), sim.now));
                    }
                    apply(buffer.rebuildCompleted(sim.now));
                }));
    }

    @Override
    void linkLost(SimProcess peer) {
        apply(buffer.entryConnectionLost(new NodeId(peer.name), sim.now));
        waiting.removeIf(reservation -> reservation.entry() == peer);
    }

    @Override
    void tick() {
        ledger.tick(sim.now);
        granted.values().removeIf(grant -> grant.untilMillis() <= sim.now);
        apply(buffer.tick(sim.now));
        results.tick(sim.now);
        applyFence(fence.tick(sim.now));
        crashes.recent(sim.now)
                .forEach(report -> sim.entries.forEach(entry -> send(entry, new SimMessage.Crashed(report))));
        if (drain.isDraining()) {
            continueDrain();
        }
        grantWaiting();
    }

    @Override
    void receive(SimProcess from, SimMessage message) {
        if (message instanceof SimMessage.Reserve reserve) {
            reserve(from, reserve);
        } else if (message instanceof SimMessage.Cancel cancel) {
            waiting.removeIf(reservation -> reservation.reserve().attempt().equals(cancel.attempt()));
            granted.remove(cancel.attempt());
            ledger.cancelled(cancel.attempt(), sim.now);
        } else if (message instanceof SimMessage.Start start) {
            start(from, start);
        } else if (message instanceof SimMessage.Ack ack) {
            apply(buffer.acknowledged(ack.generation(), ack.offset(), sim.now));
        } else if (message instanceof SimMessage.Resume resume) {
            GenerationReader reader = new GenerationReader(new NodeId(from.name), resume.attempt());
            apply(buffer.resume(resume.generation(), resume.customer(), reader, resume.offset(), sim.now));
        } else if (message instanceof SimMessage.Revoke revoke) {
            revoke(from, revoke);
        }
        grantWaiting();
    }

    private void reserve(SimProcess from, SimMessage.Reserve reserve) {
        if (drainStartMillis >= 0) {
            sim.reservedAfterDrain(sim.now - drainStartMillis);
        }
        if (isRefusing()) {
            send(from, new SimMessage.Refuse(reserve.attempt(), ErrorKind.DRAINING));
            return;
        }
        waiting.add(new Waiting(from, reserve));
    }

    private boolean isRefusing() {
        return drain.isDraining() && sim.defect != Defect.DRAIN_IGNORED;
    }

    /** Grants waiting reservations in order. A request that is suspected of crashing engines runs alone. */
    private void grantWaiting() {
        while (!waiting.isEmpty() && running.size() + granted.size() < MAX_RUNNING) {
            boolean isSuspectRunning = running.values().stream().anyMatch(Running::isSuspect)
                    || granted.values().stream().anyMatch(Granted::isSuspect);
            Waiting next = waiting.peek();
            if (isSuspectRunning || (next.reserve().isSuspect() && running.size() + granted.size() > 0)) {
                return;
            }
            waiting.remove();
            GrantId grant = new GrantId(incarnation, sequence++);
            AttemptId attempt = next.reserve().attempt();
            if (ledger.granted(attempt, grant, GRANT_TTL_MILLIS, sim.now)) {
                granted.put(
                        attempt,
                        new Granted(sim.now + GRANT_TTL_MILLIS, next.reserve().isSuspect()));
                send(next.entry(), new SimMessage.Grant(attempt, grant));
            }
        }
    }

    private void start(SimProcess from, SimMessage.Start start) {
        List<LedgerAction> actions = ledger.start(start.attempt(), start.grant(), sim.now);
        if (sim.defect == Defect.GRANT_NOT_CHECKED) {
            actions = List.of(new LedgerAction.Run(start.attempt(), start.grant()));
        }
        for (LedgerAction action : actions) {
            GenerationId generation = StreamAssembler.generationOf(backendId, start.grant());
            if (action instanceof LedgerAction.Run) {
                runAttempt(from, start, generation);
            } else if (action instanceof LedgerAction.RefuseStart refuse) {
                send(from, new SimMessage.Failed(start.attempt(), generation, refuse.kind(), refuse.outcome()));
            } else if (action instanceof LedgerAction.ReportState) {
                results.find(start.attempt(), start.grant())
                        .ifPresent(
                                response -> send(from, new SimMessage.PlainEnd(start.attempt(), generation, response)));
            }
        }
    }

    private void runAttempt(SimProcess from, SimMessage.Start start, GenerationId generation) {
        Granted grant = granted.remove(start.attempt());
        boolean isSuspect = grant != null && grant.isSuspect();
        running.put(start.grant(), new Running(from, start, generation, isSuspect));
        crashes.started(start.attempt(), fingerprint(start.call()), sim.now);
        if (start.call().kind().isPlain()) {
            backend.startPlain(start.attempt(), start.grant(), start.call());
            return;
        }
        GenerationReader reader = new GenerationReader(new NodeId(from.name), start.attempt());
        apply(buffer.started(generation, start.call().customer(), reader, sim.now));
        backend.startStream(generation, start.attempt(), start.call());
    }

    static RequestFingerprint fingerprint(SimMessage.Call call) {
        return RequestFingerprint.of(call.customer(), call.body().getBytes(StandardCharsets.UTF_8));
    }

    private void revoke(SimProcess from, SimMessage.Revoke revoke) {
        String response = results.find(revoke.attempt(), revoke.grant()).orElse(null);
        if (sim.defect == Defect.PROMISE_NOT_KEPT && !running.containsKey(revoke.grant()) && response == null) {
            send(
                    from,
                    new SimMessage.Revoked(
                            revoke.attempt(), revoke.grant(), AttemptState.NEVER_STARTED, null, revoke.isForClaim()));
            return;
        }
        for (LedgerAction action : ledger.revoke(revoke.attempt(), revoke.grant(), sim.now)) {
            LedgerAction.AnswerRevoke answer = (LedgerAction.AnswerRevoke) action;
            if (answer.isNeverStarted()) {
                granted.remove(revoke.attempt());
            }
            send(
                    from,
                    new SimMessage.Revoked(
                            revoke.attempt(), revoke.grant(), answer.state(), response, revoke.isForClaim()));
        }
    }

    void engineTokens(GenerationId generation, long offset, List<String> texts, long total) {
        apply(buffer.tokens(generation, offset, texts, sim.now));
        if (total >= 0) {
            apply(buffer.ended(generation, total, "stop", sim.now));
            ended(generation);
        }
    }

    void engineFailed(List<GenerationId> lost) {
        running.values().removeIf(work -> {
            boolean isLost = lost.contains(work.generation());
            if (!isLost && !work.start().call().kind().isPlain()) {
                crashes.ended(work.start().attempt(), sim.now);
            }
            if (work.start().call().kind().isPlain()) {
                crashes.ended(work.start().attempt(), sim.now);
            }
            if (isLost) {
                ledger.ended(work.start().attempt(), work.start().grant(), sim.now);
            }
            return isLost;
        });
        crashes.crashed(sim.now)
                .ifPresent(report -> sim.entries.forEach(entry -> send(entry, new SimMessage.Crashed(report))));
        for (GenerationId generation : lost) {
            apply(buffer.failed(generation, ErrorKind.BACKEND_FAILED, RunOutcome.RAN, sim.now));
        }
    }

    void plainEnded(AttemptId attempt, GrantId grant, String response) {
        GrantId matched = grant;
        if (sim.defect == Defect.RESPONSES_IN_ORDER) {
            matched = running.entrySet().stream()
                    .filter(entry -> entry.getValue().start().call().kind().isPlain())
                    .map(Map.Entry::getKey)
                    .findFirst()
                    .orElse(grant);
        }
        Running work = running.remove(matched);
        if (work == null) {
            return;
        }
        AttemptId owner = work.start().attempt();
        ledger.ended(owner, matched, sim.now);
        crashes.ended(owner, sim.now);
        if (sim.isResultLost()) {
            sim.statistics.count(FaultKind.RESULT_LOST);
            send(
                    work.entry(),
                    new SimMessage.Failed(owner, work.generation(), ErrorKind.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN));
            return;
        }
        results.put(owner, matched, response, response.length(), sim.now);
        send(work.entry(), new SimMessage.PlainEnd(owner, work.generation(), response));
        grantWaiting();
    }

    private void ended(GenerationId generation) {
        running.values().removeIf(work -> {
            boolean isEnded = work.generation().equals(generation);
            if (isEnded) {
                ledger.ended(work.start().attempt(), work.start().grant(), sim.now);
                crashes.ended(work.start().attempt(), sim.now);
            }
            return isEnded;
        });
        grantWaiting();
    }

    private void apply(List<RetentionAction> actions) {
        for (RetentionAction action : actions) {
            if (action instanceof RetentionAction.SendTokens tokens) {
                send(
                        sim.node(tokens.reader().entry()),
                        new SimMessage.Tokens(
                                tokens.reader().attempt(), tokens.generation(), tokens.offset(), tokens.texts()));
            } else if (action instanceof RetentionAction.SendEnd end) {
                send(
                        sim.node(end.reader().entry()),
                        new SimMessage.End(end.reader().attempt(), end.generation(), end.totalTokens()));
            } else if (action instanceof RetentionAction.SendFailed failed) {
                send(
                        sim.node(failed.reader().entry()),
                        new SimMessage.Failed(
                                failed.reader().attempt(), failed.generation(), failed.kind(), failed.outcome()));
            } else if (action instanceof RetentionAction.ReattachGeneration reattach) {
                long at = incarnation;
                sim.after(2, () -> run(at, () -> backend.replay(reattach.generation(), reattach.offset())));
            } else if (action instanceof RetentionAction.CancelGeneration cancel) {
                backend.cancel(cancel.generation());
                ended(cancel.generation());
            }
        }
    }

    void command(FencedCommand command) {
        if (sim.defect == Defect.FENCE_FORGOTTEN) {
            if (command.fence() >= unpersistedFence) {
                unpersistedFence = command.fence();
                sim.invariants.commandExecuted(name, command.fence());
            }
            return;
        }
        applyFence(fence.command(command, sim.now));
    }

    private void applyFence(List<FenceAction> actions) {
        for (FenceAction action : actions) {
            if (action instanceof FenceAction.CallStore call) {
                sim.store.call(this, call.call(), reply -> applyFence(fence.storeReplied(call.call(), reply, sim.now)));
            } else if (action instanceof FenceAction.Execute execute) {
                sim.invariants.commandExecuted(name, execute.command().fence());
                long at = incarnation;
                sim.after(20, () -> run(at, () -> applyFence(fence.commandEnded(execute.command(), sim.now))));
            }
        }
    }

    void leave(DrainReason sign) {
        applyDrain(drain.leaving(sign, sim.now));
    }

    void reclaim(long noticeMillis) {
        applyDrain(drain.reclaim(noticeMillis, sim.now));
    }

    private void applyDrain(List<DrainAction> actions) {
        for (DrainAction action : actions) {
            if (action instanceof DrainAction.StopNewWork) {
                drainStartMillis = sim.now;
                stopNewWork();
            } else if (action instanceof DrainAction.Announce) {
                sim.entries.forEach(entry -> send(entry, new SimMessage.Draining()));
            }
        }
    }

    private void stopNewWork() {
        if (!isRefusing()) {
            return;
        }
        ledger.drain(sim.now);
        granted.clear();
        for (Waiting reservation : waiting) {
            send(
                    reservation.entry(),
                    new SimMessage.Refuse(reservation.reserve().attempt(), ErrorKind.DRAINING));
        }
        waiting.clear();
    }

    private void continueDrain() {
        List<RunningWork> work = new ArrayList<>();
        for (Running item : running.values()) {
            SimBackend.Stream stream = backend.streams.get(item.generation());
            long emitted = stream == null ? 0 : stream.emitted;
            long left = stream == null ? 40 : (stream.total - emitted) * 8;
            work.add(new RunningWork(
                    item.start().attempt(),
                    emitted > 0,
                    item.start().call().kind().isRepeatable(),
                    left,
                    emitted));
        }
        int streams = (int) running.values().stream()
                .filter(item -> !item.start().call().kind().isPlain())
                .count();
        int unacknowledged = Math.max(0, buffer.unacknowledgedGenerations() - streams);
        List<DrainAction> actions = drain.progress(work, unacknowledged, sim.now);
        if (sim.defect == Defect.DRAIN_TRUNCATES) {
            actions = List.of(new DrainAction.Exit(true));
        }
        for (DrainAction action : actions) {
            if (action instanceof DrainAction.RunElsewhere move) {
                endAttempt(move.attempt(), ErrorKind.DRAINING, RunOutcome.RAN);
            } else if (action instanceof DrainAction.EndWork end) {
                endAttempt(end.attempt(), end.kind(), end.outcome());
            } else if (action instanceof DrainAction.Exit exit) {
                exit(exit);
            }
        }
    }

    private void exit(DrainAction.Exit exit) {
        if (exit.isComplete() && (backend.running() > 0 || !running.isEmpty())) {
            sim.invariants.stoppedEarly(name + " left with work in progress");
        }
        long at = incarnation;
        sim.after(50, () -> run(at, () -> fail(30_000)));
    }

    private void endAttempt(AttemptId attempt, ErrorKind kind, RunOutcome outcome) {
        for (Running work : List.copyOf(running.values())) {
            if (!work.start().attempt().equals(attempt)) {
                continue;
            }
            running.remove(work.start().grant());
            ledger.ended(attempt, work.start().grant(), sim.now);
            if (work.start().call().kind().isPlain()) {
                send(work.entry(), new SimMessage.Failed(attempt, work.generation(), kind, outcome));
            } else {
                backend.cancel(work.generation());
                apply(buffer.failed(work.generation(), kind, outcome, sim.now));
            }
        }
    }

    private void send(SimProcess to, SimMessage message) {
        sim.network.send(this, to, message);
    }

    private record Waiting(SimProcess entry, SimMessage.Reserve reserve) {}

    private record Granted(long untilMillis, boolean isSuspect) {}

    private record Running(SimProcess entry, SimMessage.Start start, GenerationId generation, boolean isSuspect) {}
}
