package io.hornbeamscale.core.faults;

import io.hornbeamscale.core.attempt.AttemptState;
import io.hornbeamscale.core.claim.ClaimAction;
import io.hornbeamscale.core.claim.ClaimController;
import io.hornbeamscale.core.claim.ClaimKey;
import io.hornbeamscale.core.claim.ClaimOwner;
import io.hornbeamscale.core.claim.ClaimRequest;
import io.hornbeamscale.core.claim.ClaimResult;
import io.hornbeamscale.core.claim.ClaimSettings;
import io.hornbeamscale.core.drain.DrainAction;
import io.hornbeamscale.core.drain.DrainController;
import io.hornbeamscale.core.drain.DrainReason;
import io.hornbeamscale.core.drain.RunningWork;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.quarantine.QuarantineAction;
import io.hornbeamscale.core.quarantine.QuarantineController;
import io.hornbeamscale.core.quarantine.QuarantineStatus;
import io.hornbeamscale.core.quarantine.RequestFingerprint;
import io.hornbeamscale.core.stream.EventId;
import io.hornbeamscale.core.stream.StreamAction;
import io.hornbeamscale.core.stream.StreamAssembler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** A simulated entry that composes the entry's controllers and chooses agents at random. */
class SimEntry extends SimProcess {
    private static final long RESERVE_TIMEOUT_MILLIS = 400;
    private static final long REQUEST_TIMEOUT_MILLIS = 8_000;
    private static final long OUTCOME_TIMEOUT_MILLIS = 6_000;
    private static final long REVOKE_PERIOD_MILLIS = 500;
    private static final ServiceId SERVICE = new ServiceId("service");

    private ClaimController claims;
    private QuarantineController quarantine;
    private DrainController drain;
    private final Map<SimCaller, Integer> connections = new LinkedHashMap<>();
    private final Map<RequestId, SimRequest> requests = new LinkedHashMap<>();
    private final Map<String, Long> drainingAgents = new HashMap<>();
    private long sequence;

    SimEntry(FaultSimulation sim, String name) {
        super(sim, name);
        createControllers();
    }

    private void createControllers() {
        long skewMillis = sim.random.nextInt(1_000);
        ClaimSettings settings = new ClaimSettings(2, 100_000, 256, 600_000, 5_000, 20, 1_000_000 + skewMillis);
        claims = new ClaimController(new NodeId(name), settings, new SplittableRandom(sim.random.nextLong()));
        claims.setMembers(sim.entryIds(), sim.now);
        quarantine = new QuarantineController(600_000, 1_000_000, new SplittableRandom(sim.random.nextLong()));
        drain = new DrainController(20_000);
        requests.clear();
        drainingAgents.clear();
        sequence = 0;
    }

    @Override
    void failed() {
        connections.forEach((caller, session) -> sim.after(5, () -> caller.connectionLost(session)));
        connections.clear();
        sim.addClaimCounters(claims.counters());
        createControllers();
    }

    @Override
    void restarted() {
        createControllers();
    }

    boolean isAccepting() {
        return isUp && !isPaused() && !drain.isDraining();
    }

    /** Records a caller's connection, which is lost if the process fails even before it has read the request. */
    void connected(SimCaller caller, int session) {
        connections.put(caller, session);
    }

    void addClaimCounters() {
        sim.addClaimCounters(claims.counters());
    }

    void accept(SimCaller caller, int session, SimMessage.Call call, EventId last) {
        RequestId id = new RequestId(name + "." + incarnation + "." + sequence++);
        SimRequest request = new SimRequest(id, caller, session, call, sim.now + REQUEST_TIMEOUT_MILLIS);
        if (drain.isDraining()) {
            caller.error(session, id, ErrorKind.DRAINING, RunOutcome.NOT_RUN);
            return;
        }
        requests.put(id, request);
        if (isQuarantined(request) && sim.defect != Defect.QUARANTINE_IGNORED) {
            fail(request, ErrorKind.REQUEST_QUARANTINED, RunOutcome.NOT_RUN);
            return;
        }
        if (last == null) {
            reserve(request);
            return;
        }
        request.attempt = new AttemptId(id, 1);
        request.agent = sim.agent(last.generation().backend());
        request.generation = last.generation();
        request.record.handedOver(request.attempt);
        request.enter(SimRequest.Phase.HANDED_OVER, sim.now);
        apply(request, request.assembler.resumed(request.attempt, last, sim.now));
    }

    private boolean isQuarantined(SimRequest request) {
        return quarantine.check(SimAgent.fingerprint(request.call), sim.now) == QuarantineStatus.QUARANTINED;
    }

    private void reserve(SimRequest request) {
        List<SimAgent> candidates = new ArrayList<>();
        for (SimAgent agent : sim.agents) {
            if (!Long.valueOf(agent.incarnation).equals(drainingAgents.get(agent.name))) {
                candidates.add(agent);
            }
        }
        if (sim.now >= request.deadlineMillis || candidates.isEmpty()) {
            fail(request, ErrorKind.DEADLINE_EXCEEDED, request.record.outcome());
            return;
        }
        request.agent = candidates.get(sim.random.nextInt(candidates.size()));
        request.attempt = request.attempt == null ? new AttemptId(request.id, 1) : request.attempt.next();
        request.grant = null;
        request.enter(SimRequest.Phase.RESERVING, sim.now);
        boolean isSuspect = quarantine.check(SimAgent.fingerprint(request.call), sim.now) == QuarantineStatus.SUSPECT;
        send(
                request.agent,
                new SimMessage.Reserve(request.attempt, request.call.kind().isPlain(), isSuspect));
    }

    @Override
    void receive(SimProcess from, SimMessage message) {
        if (message instanceof SimMessage.Grant grant) {
            granted(from, grant);
        } else if (message instanceof SimMessage.Refuse refuse) {
            refused(from, refuse);
        } else if (message instanceof SimMessage.Tokens tokens) {
            tokens(tokens);
        } else if (message instanceof SimMessage.End end) {
            ended(end);
        } else if (message instanceof SimMessage.PlainEnd end) {
            plainEnded(end);
        } else if (message instanceof SimMessage.Failed failed) {
            attemptFailed(failed);
        } else if (message instanceof SimMessage.Revoked revoked) {
            revoked(from, revoked);
        } else if (message instanceof SimMessage.Draining) {
            drainingAgents.put(from.name, from.incarnation);
        } else if (message instanceof SimMessage.Crashed crashed) {
            applyQuarantine(quarantine.crashed(crashed.report(), sim.now));
        } else if (message instanceof SimMessage.News news) {
            applyQuarantine(quarantine.peerReported(news.news(), sim.now));
        } else if (message instanceof SimMessage.Forward forward) {
            applyClaims(claims.forwarded(new NodeId(from.name), forward.forward(), sim.now));
        } else if (message instanceof SimMessage.Answer answer) {
            applyClaims(claims.answered(answer.answer(), sim.now));
        }
    }

    private void granted(SimProcess from, SimMessage.Grant grant) {
        SimRequest request = requests.get(grant.attempt().request());
        if (request == null
                || request.phase != SimRequest.Phase.RESERVING
                || !request.attempt.equals(grant.attempt())
                || request.agent != from) {
            send(from, new SimMessage.Cancel(grant.attempt()));
            return;
        }
        request.grant = grant.grant();
        request.generation = StreamAssembler.generationOf(request.agent.backendId, request.grant);
        if (request.call.kind() != CallKind.KEYED || sim.defect == Defect.CLAIM_NOT_WRITTEN) {
            handOver(request);
            return;
        }
        request.enter(SimRequest.Phase.CLAIMING, sim.now);
        request.owner = new ClaimOwner(request.attempt, request.agent.backendId, request.grant);
        applyClaims(claims.claim(
                new ClaimRequest(
                        key(request), request.call.body(), request.owner, request.supersedes, request.deadlineMillis),
                sim.now));
    }

    private static ClaimKey key(SimRequest request) {
        return ClaimKey.of(request.call.customer(), SERVICE, request.call.key());
    }

    private void handOver(SimRequest request) {
        if (isQuarantined(request)) {
            if (sim.defect != Defect.QUARANTINE_IGNORED) {
                send(request.agent, new SimMessage.Cancel(request.attempt));
                fail(request, ErrorKind.REQUEST_QUARANTINED, request.record.outcome());
                return;
            }
            sim.invariants.quarantinedExecuted(request.call.body());
        }
        request.record.handedOver(request.attempt);
        request.enter(SimRequest.Phase.HANDED_OVER, sim.now);
        request.assembler.handedOver(request.attempt, request.generation, sim.now);
        SimMessage.Start start = new SimMessage.Start(request.attempt, request.grant, request.call);
        send(request.agent, start);
        if (sim.isStartDuplicated()) {
            sim.statistics.count(FaultKind.START_DUPLICATED);
            SimAgent agent = request.agent;
            long at = incarnation;
            sim.after(sim.random.nextInt(3_000), () -> run(at, () -> send(agent, start)));
        }
    }

    private void refused(SimProcess from, SimMessage.Refuse refuse) {
        if (refuse.kind() == ErrorKind.DRAINING) {
            drainingAgents.put(from.name, from.incarnation);
        }
        SimRequest request = requests.get(refuse.attempt().request());
        if (request != null
                && request.phase == SimRequest.Phase.RESERVING
                && request.attempt.equals(refuse.attempt())) {
            reserve(request);
        }
    }

    private void tokens(SimMessage.Tokens tokens) {
        SimRequest request = requests.get(tokens.attempt().request());
        if (request == null) {
            return;
        }
        if (sim.defect == Defect.OFFSET_NOT_CHECKED && request.call.kind() == CallKind.STREAM) {
            long next = tokens.offset() + tokens.texts().size();
            request.caller.tokens(request.session, new EventId(tokens.generation(), next), tokens.texts());
            return;
        }
        boolean isUnchecked = sim.defect == Defect.GENERATION_NOT_CHECKED && request.generation != null;
        AttemptId attempt = isUnchecked ? request.attempt : tokens.attempt();
        GenerationId generation = isUnchecked ? request.generation : tokens.generation();
        apply(request, request.assembler.tokens(attempt, generation, tokens.offset(), tokens.texts(), sim.now));
    }

    private void ended(SimMessage.End end) {
        SimRequest request = requests.get(end.attempt().request());
        if (request != null) {
            apply(request, request.assembler.ended(end.attempt(), end.generation(), end.total(), "stop", sim.now));
        }
    }

    private void plainEnded(SimMessage.PlainEnd end) {
        SimRequest request = requests.get(end.attempt().request());
        if (request == null || !request.isCurrent(end.attempt(), end.generation())) {
            return;
        }
        if (request.call.kind() == CallKind.KEYED && request.owner != null) {
            byte[] body = end.response().getBytes(StandardCharsets.UTF_8);
            ClaimResult result = ClaimResult.of(200, "text/plain", body, 256);
            applyClaims(claims.finished(key(request), request.owner, result, sim.now));
        }
        requests.remove(request.id);
        request.caller.response(request.session, end.response());
    }

    private void attemptFailed(SimMessage.Failed failed) {
        SimRequest request = requests.get(failed.attempt().request());
        if (request == null) {
            return;
        }
        request.record.settled(failed.attempt(), failed.outcome());
        if (!request.call.kind().isPlain()) {
            boolean isUnchecked = sim.defect == Defect.GENERATION_NOT_CHECKED && request.isHandedOver();
            if (isUnchecked && failed.kind() != ErrorKind.GRANT_EXPIRED) {
                reserve(request);
                return;
            }
            apply(
                    request,
                    request.assembler.failed(
                            failed.attempt(), failed.generation(), failed.kind(), failed.outcome(), sim.now));
        } else if (request.isCurrent(failed.attempt(), failed.generation())) {
            plainFailed(request, failed.kind(), failed.outcome());
        }
    }

    private void plainFailed(SimRequest request, ErrorKind kind, RunOutcome outcome) {
        if (request.call.kind().isRepeatable() || outcome == RunOutcome.NOT_RUN) {
            request.supersedes = request.owner;
            reserve(request);
        } else {
            fail(request, kind == ErrorKind.GRANT_EXPIRED ? ErrorKind.OUTCOME_UNKNOWN : kind, outcome);
        }
    }

    private void revoked(SimProcess from, SimMessage.Revoked revoked) {
        if (revoked.isForClaim()) {
            ClaimOwner holder = new ClaimOwner(revoked.attempt(), ((SimAgent) from).backendId, revoked.grant());
            ClaimResult result = revoked.response() == null
                    ? null
                    : ClaimResult.of(200, "text/plain", revoked.response().getBytes(StandardCharsets.UTF_8), 256);
            applyClaims(claims.revokeAnswered(holder, revoked.state(), result, sim.now));
            return;
        }
        SimRequest request = requests.get(revoked.attempt().request());
        GenerationId generation = StreamAssembler.generationOf(((SimAgent) from).backendId, revoked.grant());
        if (request == null || !request.isCurrent(revoked.attempt(), generation)) {
            return;
        }
        if (revoked.state() == AttemptState.NEVER_STARTED) {
            request.record.settled(request.attempt, RunOutcome.NOT_RUN);
            plainFailed(request, ErrorKind.REVOKED, RunOutcome.NOT_RUN);
        } else if (revoked.state() == AttemptState.ENDED && revoked.response() != null) {
            plainEnded(new SimMessage.PlainEnd(revoked.attempt(), generation, revoked.response()));
        } else if (revoked.state() != AttemptState.RUNNING) {
            plainFailed(request, ErrorKind.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN);
        }
    }

    @Override
    void linkLost(SimProcess peer) {
        for (SimRequest request : List.copyOf(requests.values())) {
            if (request.agent != peer) {
                continue;
            }
            if (request.phase == SimRequest.Phase.RESERVING) {
                request.phaseSinceMillis -= RESERVE_TIMEOUT_MILLIS;
            } else if (request.isHandedOver() && !request.call.kind().isPlain()) {
                apply(request, request.assembler.connectionLost(request.agent.backendId, sim.now));
            } else if (request.isHandedOver()) {
                if (sim.defect == Defect.LINK_LOSS_IS_NOT_RUN) {
                    fail(request, ErrorKind.REVOKED, RunOutcome.NOT_RUN);
                } else if (request.call.kind() == CallKind.READ) {
                    reserve(request);
                } else {
                    request.isRevoking = true;
                }
            }
        }
    }

    @Override
    void tick() {
        for (SimRequest request : List.copyOf(requests.values())) {
            advance(request);
        }
        applyClaims(claims.tick(sim.now));
        applyQuarantine(quarantine.tick(sim.now));
        if (drain.isDraining()) {
            continueDrain();
        }
    }

    private void advance(SimRequest request) {
        long inPhase = sim.now - request.phaseSinceMillis;
        if (request.phase == SimRequest.Phase.RESERVING) {
            if (inPhase >= RESERVE_TIMEOUT_MILLIS) {
                send(request.agent, new SimMessage.Cancel(request.attempt));
                reserve(request);
            }
        } else if (request.isHandedOver() && !request.call.kind().isPlain()) {
            apply(request, request.assembler.tick(sim.now));
        } else if (request.isHandedOver()) {
            request.isRevoking |= inPhase >= 3_000;
            if (inPhase >= OUTCOME_TIMEOUT_MILLIS) {
                plainFailed(request, ErrorKind.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN);
            } else if (request.isRevoking && sim.now - request.revokeSentMillis >= REVOKE_PERIOD_MILLIS) {
                request.revokeSentMillis = sim.now;
                send(request.agent, new SimMessage.Revoke(request.attempt, request.grant, false));
            }
        }
    }

    void leave() {
        drain.leaving(DrainReason.STOP_REQUESTED, sim.now);
    }

    private void continueDrain() {
        List<RunningWork> work = new ArrayList<>();
        for (SimRequest request : requests.values()) {
            if (request.attempt != null) {
                work.add(new RunningWork(
                        request.attempt, true, request.call.kind().isRepeatable(), 0, 0));
            }
        }
        for (DrainAction action : drain.progress(work, 0, sim.now)) {
            if (action instanceof DrainAction.Exit exit) {
                if (exit.isComplete() && !requests.isEmpty()) {
                    sim.invariants.stoppedEarly(name + " left with open requests");
                }
                fail(5_000);
            } else if (action instanceof DrainAction.EndWork end) {
                SimRequest request = requests.get(end.attempt().request());
                if (request != null) {
                    fail(request, end.kind(), request.record.outcome());
                }
            }
        }
    }

    private void apply(SimRequest request, List<StreamAction> actions) {
        for (StreamAction action : actions) {
            if (action instanceof StreamAction.Deliver deliver) {
                request.caller.tokens(request.session, deliver.id(), deliver.texts());
            } else if (action instanceof StreamAction.DeliverEnd) {
                complete(request);
                request.caller.streamEnd(request.session);
            } else if (action instanceof StreamAction.DeliverWhole whole) {
                complete(request);
                request.caller.whole(request.session, whole.texts());
            } else if (action instanceof StreamAction.DeliverRestart) {
                request.caller.restart(request.session);
            } else if (action instanceof StreamAction.DeliverError error) {
                fail(request, error.kind(), error.outcome());
            } else if (action instanceof StreamAction.Retry) {
                reserve(request);
            } else if (action instanceof StreamAction.SendAck ack) {
                send(request.agent, new SimMessage.Ack(ack.generation(), ack.offset()));
            } else if (action instanceof StreamAction.SendResume resume) {
                send(
                        request.agent,
                        new SimMessage.Resume(
                                request.attempt, request.call.customer(), resume.generation(), resume.offset()));
            }
        }
    }

    private void complete(SimRequest request) {
        requests.remove(request.id);
        applyQuarantine(quarantine.completed(SimAgent.fingerprint(request.call), sim.now));
    }

    private void fail(SimRequest request, ErrorKind kind, RunOutcome outcome) {
        requests.remove(request.id);
        request.caller.error(request.session, request.id, kind, outcome);
    }

    private void applyClaims(List<ClaimAction> actions) {
        for (ClaimAction action : actions) {
            if (action instanceof ClaimAction.CallStore call) {
                sim.store.call(
                        this, call.call(), reply -> applyClaims(claims.storeReplied(call.call(), reply, sim.now)));
            } else if (action instanceof ClaimAction.Proceed proceed) {
                proceed(proceed.owner());
            } else if (action instanceof ClaimAction.Replay replay) {
                SimRequest request = findClaiming(replay.owner());
                if (request != null) {
                    send(request.agent, new SimMessage.Cancel(request.attempt));
                    requests.remove(request.id);
                    byte[] body = replay.result().body().orElseThrow();
                    request.caller.response(request.session, new String(body, StandardCharsets.UTF_8));
                }
            } else if (action instanceof ClaimAction.Refuse refuse) {
                SimRequest request = findClaiming(refuse.owner());
                if (request != null) {
                    send(request.agent, new SimMessage.Cancel(request.attempt));
                    RunOutcome known = request.record.outcome();
                    fail(request, refuse.kind(), known == RunOutcome.NOT_RUN ? refuse.outcome() : known);
                }
            } else if (action instanceof ClaimAction.AskRevoke ask) {
                askRevoke(ask.holder());
            } else if (action instanceof ClaimAction.SendForward forward) {
                send(sim.node(forward.writer()), new SimMessage.Forward(forward.forward()));
            } else if (action instanceof ClaimAction.SendAnswer answer) {
                send(sim.node(answer.entry()), new SimMessage.Answer(answer.answer()));
            }
        }
    }

    private void askRevoke(ClaimOwner holder) {
        if (sim.defect == Defect.CLAIM_TAKEN_OVER) {
            applyClaims(claims.revokeAnswered(holder, AttemptState.NEVER_STARTED, null, sim.now));
            return;
        }
        send(sim.agent(holder.backend()), new SimMessage.Revoke(holder.attempt(), holder.grant(), true));
    }

    private void proceed(ClaimOwner owner) {
        SimRequest request = findClaiming(owner);
        if (request != null) {
            handOver(request);
        }
    }

    private SimRequest findClaiming(ClaimOwner owner) {
        SimRequest request = requests.get(owner.attempt().request());
        boolean isClaiming =
                request != null && request.phase == SimRequest.Phase.CLAIMING && owner.equals(request.owner);
        return isClaiming ? request : null;
    }

    private void applyQuarantine(List<QuarantineAction> actions) {
        for (QuarantineAction action : actions) {
            if (action instanceof QuarantineAction.CallStore call) {
                sim.store.call(
                        this,
                        call.call(),
                        reply -> applyQuarantine(quarantine.storeReplied(call.call(), reply, sim.now)));
            } else if (action instanceof QuarantineAction.SendPeers peers) {
                for (SimEntry entry : sim.entries) {
                    if (entry != this) {
                        send(entry, new SimMessage.News(peers.update()));
                    }
                }
            } else if (action instanceof QuarantineAction.Refuse refuse) {
                refuseQuarantined(refuse.fingerprint());
            }
        }
    }

    private void refuseQuarantined(RequestFingerprint fingerprint) {
        for (SimRequest request : List.copyOf(requests.values())) {
            if (request.phase == SimRequest.Phase.RESERVING
                    && SimAgent.fingerprint(request.call).equals(fingerprint)
                    && sim.defect != Defect.QUARANTINE_IGNORED) {
                send(request.agent, new SimMessage.Cancel(request.attempt));
                fail(request, ErrorKind.REQUEST_QUARANTINED, request.record.outcome());
            }
        }
    }

    private void send(SimProcess to, SimMessage message) {
        sim.network.send(this, to, message);
    }
}
