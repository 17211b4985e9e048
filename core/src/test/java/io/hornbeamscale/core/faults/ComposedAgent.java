package io.hornbeamscale.core.faults;

import io.hornbeamscale.core.agent.AgentAction;
import io.hornbeamscale.core.agent.AgentController;
import io.hornbeamscale.core.attempt.AttemptLedger;
import io.hornbeamscale.core.attempt.AttemptState;
import io.hornbeamscale.core.attempt.LedgerLimits;
import io.hornbeamscale.core.drain.DrainAction;
import io.hornbeamscale.core.drain.DrainController;
import io.hornbeamscale.core.drain.DrainReason;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.schedule.MemoryScheduler;
import io.hornbeamscale.core.schedule.SchedulerConfig;
import io.hornbeamscale.core.stream.GenerationReader;
import io.hornbeamscale.core.stream.RetentionBuffer;
import io.hornbeamscale.core.stream.RetentionLimits;
import io.hornbeamscale.core.stream.StreamAssembler;
import io.hornbeamscale.core.work.BackendCall;
import io.hornbeamscale.core.work.Payload;
import io.hornbeamscale.core.work.Reservation;
import java.util.List;
import java.util.Map;

/** A simulated agent that runs the daemon's {@link AgentController}. */
final class ComposedAgent extends SimAgent {
    private static final BackendCall NO_CALL = new BackendCall("POST", "/", Map.of(), Payload.EMPTY);

    private AgentController controller;
    private DrainController drain;

    ComposedAgent(FaultSimulation sim, String name) {
        super(sim, name);
        createControllers(false);
    }

    private void createControllers(boolean isRebuilding) {
        SchedulerConfig config = SchedulerConfig.builder(backendId, incarnation)
                .capacityTokens(100_000)
                .maxRunning(3)
                .grantMillis(1_000)
                .typicalTokens(6)
                .build();
        controller = new AgentController(
                backendId,
                new MemoryScheduler(config),
                new AttemptLedger(incarnation, new LedgerLimits(1_500, 4_096, 100)),
                new RetentionBuffer(new RetentionLimits(60_000, 1 << 20, 20_000, 1 << 16), isRebuilding));
        drain = new DrainController(60_000);
        drainStartMillis = -1;
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
                        apply(controller.engineStreamFound(stream.id, stream.call.customer(), sim.now));
                    }
                    apply(controller.rebuildCompleted(sim.now));
                }));
    }

    @Override
    void linkLost(SimProcess peer) {
        apply(controller.entryConnectionLost(new NodeId(peer.name), sim.now));
    }

    @Override
    void tick() {
        apply(controller.tick(sim.now));
        sim.entries.forEach(entry -> send(entry, new SimMessage.Status(controller.status(sim.now))));
        if (!drain.isDraining()) {
            return;
        }
        for (DrainAction action :
                drain.progress(controller.runningWork(), controller.unacknowledgedGenerations(), sim.now)) {
            if (action instanceof DrainAction.RunElsewhere move) {
                endAttempt(move.attempt(), ErrorKind.DRAINING, RunOutcome.UNKNOWN);
            } else if (action instanceof DrainAction.EndWork end) {
                endAttempt(end.attempt(), end.kind(), end.outcome());
            } else if (action instanceof DrainAction.Exit exit) {
                if (exit.isComplete() && !controller.runningWork().isEmpty()) {
                    sim.invariants.stoppedEarly(name + " left with work in progress");
                }
                long at = incarnation;
                sim.after(50, () -> run(at, () -> fail(30_000)));
            }
        }
    }

    private void endAttempt(AttemptId attempt, ErrorKind kind, RunOutcome outcome) {
        GenerationId generation = controller.generationOf(attempt);
        if (generation != null) {
            backend.cancel(generation);
            apply(controller.backendFailed(generation, kind, outcome, sim.now));
        }
    }

    @Override
    void receive(SimProcess from, SimMessage message) {
        NodeId entry = new NodeId(from.name);
        if (message instanceof SimMessage.ReserveWork reserve) {
            apply(controller.reserve(new Reservation(reserve.attempt(), entry, reserve.work()), sim.now));
        } else if (message instanceof SimMessage.Cancel cancel) {
            apply(controller.cancel(entry, cancel.attempt(), sim.now));
        } else if (message instanceof SimMessage.Start start) {
            sim.calls.put(start.attempt().request(), start.call());
            apply(controller.start(entry, start.attempt(), start.grant(), NO_CALL, sim.now));
        } else if (message instanceof SimMessage.Ack ack) {
            apply(controller.acknowledged(ack.generation(), ack.offset(), sim.now));
        } else if (message instanceof SimMessage.Resume resume) {
            GenerationReader reader = new GenerationReader(entry, resume.attempt());
            apply(controller.resume(reader, resume.customer(), resume.generation(), resume.offset(), sim.now));
        } else if (message instanceof SimMessage.Revoke revoke) {
            apply(controller.revoke(entry, revoke.attempt(), revoke.grant(), sim.now));
        }
    }

    @Override
    void engineTokens(GenerationId generation, long offset, List<String> texts, long total) {
        apply(controller.engineTokens(generation, offset, texts, sim.now));
        if (total >= 0) {
            apply(controller.engineEnded(generation, total, "stop", sim.now));
        }
    }

    @Override
    void engineFailed(List<GenerationId> lost) {
        for (GenerationId generation : lost) {
            apply(controller.backendFailed(generation, ErrorKind.BACKEND_FAILED, RunOutcome.RAN, sim.now));
        }
    }

    @Override
    void plainEnded(AttemptId attempt, GrantId grant, String response) {
        GenerationId generation = StreamAssembler.generationOf(backendId, grant);
        if (sim.isResultLost()) {
            sim.statistics.count(FaultKind.RESULT_LOST);
            apply(controller.backendFailed(generation, ErrorKind.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN, sim.now));
            return;
        }
        apply(controller.backendAnswered(generation, 200, Map.of(), Payload.ofText(response), sim.now));
    }

    @Override
    void leave(DrainReason sign) {
        applyDrain(drain.leaving(sign, sim.now));
    }

    @Override
    void reclaim(long noticeMillis) {
        applyDrain(drain.reclaim(noticeMillis, sim.now));
    }

    private void applyDrain(List<DrainAction> actions) {
        if (!actions.isEmpty()) {
            drainStartMillis = sim.now;
            apply(controller.drain(sim.now));
        }
    }

    private void apply(List<AgentAction> actions) {
        for (AgentAction action : actions) {
            if (action instanceof AgentAction.SendGrant a) {
                send(sim.node(a.entry()), new SimMessage.Grant(a.attempt(), a.grant()));
            } else if (action instanceof AgentAction.SendRefuse a) {
                send(sim.node(a.entry()), new SimMessage.Refuse(a.attempt(), a.kind()));
            } else if (action instanceof AgentAction.SendTokens a) {
                send(sim.node(a.entry()), new SimMessage.Tokens(a.attempt(), a.generation(), a.offset(), a.texts()));
            } else if (action instanceof AgentAction.SendEnd a) {
                send(sim.node(a.entry()), new SimMessage.End(a.attempt(), a.generation(), a.totalTokens()));
            } else if (action instanceof AgentAction.SendAnswer a) {
                send(
                        sim.node(a.entry()),
                        new SimMessage.PlainEnd(
                                a.attempt(), a.generation(), a.body().text()));
            } else if (action instanceof AgentAction.SendFailed a) {
                send(sim.node(a.entry()), new SimMessage.Failed(a.attempt(), null, a.kind(), a.outcome()));
            } else if (action instanceof AgentAction.SendRevoked a) {
                String response = a.status() == 0 ? null : a.body().text();
                AttemptState state = AttemptState.valueOf(a.state());
                send(sim.node(a.entry()), new SimMessage.Revoked(a.attempt(), a.grant(), state, response, true));
            } else if (action instanceof AgentAction.StartCall a) {
                startCall(a);
            } else if (action instanceof AgentAction.CancelCall a) {
                backend.cancel(a.generation());
            } else if (action instanceof AgentAction.ReattachCall a) {
                long at = incarnation;
                sim.after(2, () -> run(at, () -> backend.replay(a.generation(), a.offset())));
            }
        }
    }

    private void startCall(AgentAction.StartCall start) {
        GenerationId generation = start.generation();
        SimMessage.Call call = sim.calls.get(start.work().request());
        AttemptId attempt = new AttemptId(start.work().request(), 1);
        if (call.kind().isPlain()) {
            backend.startPlain(attempt, new GrantId(generation.incarnation(), generation.sequence()), call);
        } else {
            backend.startStream(generation, attempt, call);
        }
    }

    private void send(SimProcess to, SimMessage message) {
        sim.network.send(this, to, message);
    }
}
