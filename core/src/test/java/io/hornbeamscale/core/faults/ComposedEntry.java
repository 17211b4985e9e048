package io.hornbeamscale.core.faults;

import io.hornbeamscale.core.claim.ClaimController;
import io.hornbeamscale.core.claim.ClaimOwner;
import io.hornbeamscale.core.claim.ClaimResult;
import io.hornbeamscale.core.claim.ClaimSettings;
import io.hornbeamscale.core.claim.DuplicateProtection;
import io.hornbeamscale.core.dispatch.BackendDescriptor;
import io.hornbeamscale.core.dispatch.DispatcherConfig;
import io.hornbeamscale.core.dispatch.ReservationDispatcher;
import io.hornbeamscale.core.entry.EntryAction;
import io.hornbeamscale.core.entry.EntryController;
import io.hornbeamscale.core.entry.EntryRequest;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.id.ZoneId;
import io.hornbeamscale.core.stream.EventId;
import io.hornbeamscale.core.work.BackendCall;
import io.hornbeamscale.core.work.Payload;
import io.hornbeamscale.core.work.WorkItem;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** A simulated entry that runs the daemon's {@link EntryController}. */
final class ComposedEntry extends SimEntry {
    private static final ServiceId SERVICE = new ServiceId("service");

    private EntryController controller;
    private ClaimController claims;
    private boolean isLeaving;
    private long sequence;
    private final Map<RequestId, Open> open = new LinkedHashMap<>();
    private final Map<SimCaller, Integer> connections = new LinkedHashMap<>();

    ComposedEntry(FaultSimulation sim, String name) {
        super(sim, name);
    }

    private void createControllers() {
        ClaimSettings settings = new ClaimSettings(2, 100_000, 256, 600_000, 5_000, 20, 1_000_000);
        claims = new ClaimController(new NodeId(name), settings, new SplittableRandom(sim.random.nextLong()));
        claims.setMembers(sim.entryIds(), sim.now);
        DispatcherConfig config = DispatcherConfig.builder(new ZoneId("z"), new RegionId("r"))
                .retryPercent(100)
                .build();
        controller = new EntryController(
                new ReservationDispatcher(config, new SplittableRandom(sim.random.nextLong())), claims);
        List<BackendDescriptor> descriptors = new ArrayList<>();
        for (SimAgent agent : sim.agents) {
            descriptors.add(new BackendDescriptor(agent.backendId, SERVICE, "", new ZoneId("z"), new RegionId("r")));
        }
        apply(controller.watch(descriptors, sim.now));
        isLeaving = false;
        sequence = 0;
    }

    private EntryController controller() {
        if (controller == null) {
            createControllers();
        }
        return controller;
    }

    @Override
    boolean isAccepting() {
        return isUp && !isPaused() && !isLeaving;
    }

    @Override
    void addClaimCounters() {
        if (claims != null) {
            sim.addClaimCounters(claims.counters());
        }
    }

    @Override
    void connected(SimCaller caller, int session) {
        connections.put(caller, session);
    }

    @Override
    void failed() {
        connections.forEach((caller, session) -> sim.after(5, () -> caller.connectionLost(session)));
        connections.clear();
        open.clear();
        addClaimCounters();
        controller = null;
    }

    @Override
    void restarted() {
        controller = null;
    }

    @Override
    void accept(SimCaller caller, int session, SimMessage.Call call, EventId last) {
        controller();
        RequestId id = new RequestId(name + "." + incarnation + "." + sequence++);
        open.put(id, new Open(caller, session));
        sim.calls.put(id, call);
        if (last != null) {
            apply(controller.resume(id, call.customer(), last, sim.now));
            return;
        }
        boolean isPlain = call.kind().isPlain();
        WorkItem work = new WorkItem(
                id,
                SERVICE,
                call.customer(),
                "kind",
                5,
                isPlain ? 0 : 10,
                isPlain ? 0 : 12,
                List.of(),
                sim.now,
                sim.now + 8_000,
                call.kind().isRepeatable(),
                isPlain,
                false,
                "");
        BackendCall sent = new BackendCall("POST", "/", Map.of(), Payload.ofText(call.body()));
        boolean isStreaming = call.kind() == CallKind.STREAM || call.kind() == CallKind.STREAM_OR_RESTART;
        apply(controller.submit(
                new EntryRequest(
                        work,
                        sent,
                        isStreaming,
                        call.kind() == CallKind.STREAM_OR_RESTART,
                        call.kind() == CallKind.KEYED ? call.key() : "",
                        need(call.kind()),
                        List.of()),
                sim.now));
    }

    private static DuplicateProtection need(CallKind kind) {
        return switch (kind) {
            case KEYED -> DuplicateProtection.CLAIM;
            case UNKEYED -> DuplicateProtection.ONCE;
            default -> DuplicateProtection.REPEATABLE;
        };
    }

    @Override
    void receive(SimProcess from, SimMessage message) {
        controller();
        if (message instanceof SimMessage.Grant grant) {
            apply(controller.granted(((SimAgent) from).backendId, grant.attempt(), grant.grant(), 1_000, sim.now));
        } else if (message instanceof SimMessage.Refuse refuse) {
            apply(controller.refused(((SimAgent) from).backendId, refuse.attempt(), refuse.kind(), 50, sim.now));
        } else if (message instanceof SimMessage.Tokens a) {
            apply(controller.responses().tokens(a.attempt(), a.generation(), a.offset(), a.texts(), sim.now));
        } else if (message instanceof SimMessage.End a) {
            apply(controller.responses().ended(a.attempt(), a.generation(), a.total(), "stop", sim.now));
        } else if (message instanceof SimMessage.PlainEnd a) {
            Payload body = Payload.ofText(a.response());
            apply(controller.responses().answered(a.attempt(), 200, Map.of(), body, sim.now));
        } else if (message instanceof SimMessage.Failed a) {
            apply(controller.responses().failed(a.attempt(), a.kind(), a.outcome(), sim.now));
        } else if (message instanceof SimMessage.Revoked a) {
            ClaimOwner holder = new ClaimOwner(a.attempt(), ((SimAgent) from).backendId, a.grant());
            ClaimResult result = a.response() == null
                    ? null
                    : ClaimResult.of(200, "", Payload.ofText(a.response()).bytes(), 256);
            apply(controller.claims().revoked(holder, a.state(), result, sim.now));
        } else if (message instanceof SimMessage.Status a) {
            apply(controller.status(a.status(), sim.now));
        } else if (message instanceof SimMessage.Forward a) {
            apply(controller.claims().forwarded(new NodeId(from.name), a.forward(), sim.now));
        } else if (message instanceof SimMessage.Answer a) {
            apply(controller.claims().answered(a.answer(), sim.now));
        }
    }

    @Override
    void linkLost(SimProcess peer) {
        if (peer instanceof SimAgent agent) {
            apply(controller().connectionLost(agent.backendId, sim.now));
        }
    }

    @Override
    void tick() {
        apply(controller().tick(sim.now));
        if (isLeaving && controller.openRequests() == 0) {
            fail(5_000);
        }
    }

    @Override
    void leave() {
        isLeaving = true;
        apply(controller().drain(sim.now));
    }

    private void apply(List<EntryAction> actions) {
        for (EntryAction action : actions) {
            if (action instanceof EntryAction.SendReserve a) {
                send(sim.agent(a.backend()), new SimMessage.ReserveWork(a.attempt(), a.work()));
            } else if (action instanceof EntryAction.SendCancel a) {
                send(sim.agent(a.backend()), new SimMessage.Cancel(a.attempt()));
            } else if (action instanceof EntryAction.SendStart a) {
                SimMessage.Call call = sim.calls.get(a.attempt().request());
                send(sim.agent(a.backend()), new SimMessage.Start(a.attempt(), a.grant(), call));
            } else if (action instanceof EntryAction.SendAck a) {
                send(sim.agent(a.backend()), new SimMessage.Ack(a.generation(), a.offset()));
            } else if (action instanceof EntryAction.SendResume a) {
                send(
                        sim.agent(a.backend()),
                        new SimMessage.Resume(a.attempt(), a.customer(), a.generation(), a.offset()));
            } else if (action instanceof EntryAction.SendRevoke a) {
                send(sim.agent(a.backend()), new SimMessage.Revoke(a.attempt(), a.grant(), true));
            } else if (action instanceof EntryAction.CallStore a) {
                sim.store.call(
                        this, a.call(), reply -> apply(controller().claims().storeReplied(a.call(), reply, sim.now)));
            } else if (action instanceof EntryAction.SendClaimForward a) {
                send(sim.node(a.writer()), new SimMessage.Forward(a.forward()));
            } else if (action instanceof EntryAction.SendClaimAnswer a) {
                send(sim.node(a.entry()), new SimMessage.Answer(a.answer()));
            } else {
                deliver(action);
            }
        }
    }

    private void deliver(EntryAction action) {
        if (action instanceof EntryAction.Deliver a) {
            Open to = open.get(a.request());
            to.caller().tokens(to.session(), a.id(), a.texts());
        } else if (action instanceof EntryAction.Restart a) {
            Open to = open.get(a.request());
            to.caller().restart(to.session());
        } else if (action instanceof EntryAction.Finish a) {
            Open to = open.remove(a.request());
            if (to.caller().call.kind() == CallKind.WHOLE) {
                to.caller().whole(to.session(), a.texts());
            } else {
                to.caller().streamEnd(to.session());
            }
        } else if (action instanceof EntryAction.Answer a) {
            Open to = open.remove(a.request());
            to.caller().response(to.session(), a.body().text());
        } else if (action instanceof EntryAction.Fail a) {
            Open to = open.remove(a.request());
            fail(to, a.request(), a.kind(), a.outcome());
        }
    }

    private static void fail(Open to, RequestId request, ErrorKind kind, RunOutcome outcome) {
        to.caller().error(to.session(), request, kind, outcome);
    }

    private void send(SimProcess to, SimMessage message) {
        sim.network.send(this, to, message);
    }

    private record Open(SimCaller caller, int session) {}
}
