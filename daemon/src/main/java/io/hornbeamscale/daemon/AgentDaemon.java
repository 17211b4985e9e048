package io.hornbeamscale.daemon;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamscale.core.agent.AgentAction;
import io.hornbeamscale.core.agent.AgentController;
import io.hornbeamscale.core.attempt.AttemptLedger;
import io.hornbeamscale.core.attempt.LedgerLimits;
import io.hornbeamscale.core.document.CustomerSpec;
import io.hornbeamscale.core.document.LimitsSpec;
import io.hornbeamscale.core.document.VersionedDocument;
import io.hornbeamscale.core.drain.DrainAction;
import io.hornbeamscale.core.drain.DrainReason;
import io.hornbeamscale.core.drain.RunningWork;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.schedule.MemoryScheduler;
import io.hornbeamscale.core.schedule.SchedulerConfig;
import io.hornbeamscale.core.stream.GenerationReader;
import io.hornbeamscale.core.stream.RetentionBuffer;
import io.hornbeamscale.core.stream.RetentionLimits;
import io.hornbeamscale.core.work.BackendCall;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.EngineLoad;
import io.hornbeamscale.core.work.Payload;
import io.hornbeamscale.core.work.Reservation;
import io.hornbeamscale.daemon.control.AgentControlPlane;
import io.hornbeamscale.daemon.control.ControlPlaneStatus;
import io.hornbeamscale.gateway.ControlLoop;
import io.hornbeamscale.wire.FrameConnection;
import io.hornbeamscale.wire.FrameLoop;
import io.hornbeamscale.wire.MessageCodec;
import io.hornbeamscale.wire.message.AckMessage;
import io.hornbeamscale.wire.message.AttemptMessage;
import io.hornbeamscale.wire.message.CancelReservationMessage;
import io.hornbeamscale.wire.message.HelloMessage;
import io.hornbeamscale.wire.message.Message;
import io.hornbeamscale.wire.message.ReserveMessage;
import io.hornbeamscale.wire.message.ResumeMessage;
import io.hornbeamscale.wire.message.RevokeMessage;
import io.hornbeamscale.wire.message.StartMessage;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.XnioWorker;

/** The agent process: it accepts frames of entries and runs their calls on the backend server beside it. */
final class AgentDaemon implements AutoCloseable, EntryLink.Owner {
    private static final Logger LOG = LogManager.getLogger("agent");
    private static final long LOAD_MILLIS = 500;
    private static final int MAX_REATTACHES = 3;
    private static final char TAG_SEPARATOR = '~';

    private final AgentSettings settings;
    private final long incarnation = Incarnations.next();
    private final BackendId backend;
    private final CrashReports crashes;
    private final MemoryScheduler scheduler;
    private final AgentController controller;
    private final ControlLoop control;
    private final FrameLoop frames;
    private final XnioWorker worker;
    private final EngineClient engine;
    private final Map<NodeId, FrameConnection> entries = new HashMap<>();
    private final Map<GenerationId, CallState> calls = new LinkedHashMap<>();
    private InetSocketAddress address;
    private InetSocketAddress adminAddress;
    private long nextStatusMillis;
    private long nextLoadMillis;
    private final DrainWatch drain = new DrainWatch(LOG, this::stopNewWork, this::runningWork, this::giveUp);
    private final AgentControlPlane plane;
    private long drainMillis = LimitsSpec.defaults().drainMillis();
    private final MetricRegistry registry = new MetricRegistry();
    private volatile BackendStatus lastStatus;
    private volatile long configVersion;
    private volatile long newestVersion;
    private AdminServer admin;

    AgentDaemon(AgentSettings settings) {
        this.settings = settings;
        this.backend = new BackendId(settings.backend());
        this.crashes = new CrashReports(backend, incarnation);
        SchedulerConfig config = SchedulerConfig.builder(backend, incarnation)
                .capacityTokens(settings.isPlain() ? 0 : settings.memoryTokens())
                .maxRunning(settings.maxRunning())
                .build();
        this.scheduler = new MemoryScheduler(config);
        this.controller = new AgentController(
                backend,
                scheduler,
                new AttemptLedger(incarnation, LedgerLimits.standard()),
                new RetentionBuffer(RetentionLimits.standard(), !settings.isPlain()));
        this.control = new ControlLoop("agent", this::tick);
        this.frames = new FrameLoop("agent-frames");
        this.plane = new AgentControlPlane(
                new NodeId(settings.backend()),
                incarnation,
                ControlLoop::now,
                this::sendTo,
                this::apply,
                () -> drain.begin(DrainReason.LISTED_AS_LEAVING, drainMillis));
        this.worker = Workers.create("agent-io");
        this.engine = new EngineClient(settings.server(), worker, new Events());
    }

    /** Starts the agent and returns the address for entries. */
    InetSocketAddress start() {
        control.start();
        if (!settings.isPlain()) {
            control.execute(this::rebuild);
        }
        registry.gauge("running", () -> () -> lastStatus == null ? 0 : lastStatus.running());
        registry.gauge("waiting", () -> () -> lastStatus == null ? 0 : lastStatus.waiting());
        registry.gauge("used_tokens", () -> () -> lastStatus == null ? 0 : lastStatus.usedTokens());
        CostFields.register(registry, frames, control);
        admin = new AdminServer(settings.admin(), registry, () -> !drain.isDraining(), this::statusFields, null);
        adminAddress = admin.start();
        address = frames.listen(settings.listen(), () -> new EntryLink(control, this));
        LOG.info("Agent of {} listens on {}, incarnation {}.", backend, Addresses.format(address), incarnation);
        return address;
    }

    /** Returns the address for metrics and health. */
    InetSocketAddress adminAddress() {
        return adminAddress;
    }

    /** Begins a graceful stop; the process may end once {@link #isDrained} returns true. */
    void drain(DrainReason sign) {
        control.execute(() -> drain.begin(sign, drainMillis));
    }

    /** Returns whether a graceful stop is over. */
    boolean isDrained() {
        return drain.isOver();
    }

    @Override
    public void close() {
        if (admin != null) {
            admin.close();
        }
        control.close();
        frames.close();
        worker.shutdownNow();
    }

    /** Returns the version of the document in force, as of the last tick. */
    long configVersion() {
        return configVersion;
    }

    /** Puts a version of the document in force. */
    private void apply(VersionedDocument next) {
        drainMillis = next.document().limits().drainMillis();
        scheduler.weights(next.document().customers().stream()
                .collect(Collectors.toMap(c -> new CustomerId(c.name()), CustomerSpec::weight)));
    }

    private void sendTo(NodeId entry, Message message) {
        FrameConnection link = entries.get(entry);
        if (link != null) {
            link.send(message);
        }
    }

    private void sendStatus(long now) {
        nextStatusMillis = now + StatusInterval.millis(entries.size());
        Message status = Messages.of(controller.status(now), configVersion, crashes.texts(now));
        entries.values().forEach(link -> link.send(status));
    }

    private List<RunningWork> runningWork() {
        return controller.runningWork();
    }

    private void stopNewWork() {
        carryOut(controller.drain(ControlLoop.now()));
        nextStatusMillis = 0;
    }

    private void giveUp(DrainAction action) {
        long now = ControlLoop.now();
        if (action instanceof DrainAction.RunElsewhere move) {
            endCall(move.attempt(), ErrorKind.DRAINING, RunOutcome.UNKNOWN, now);
        } else if (action instanceof DrainAction.EndWork end) {
            endCall(end.attempt(), end.kind(), end.outcome(), now);
        }
    }

    private void endCall(AttemptId attempt, ErrorKind kind, RunOutcome outcome, long now) {
        GenerationId generation = controller.generationOf(attempt);
        if (generation != null) {
            crashes.ended(generation, now);
            CallState state = calls.remove(generation);
            engine.cancel(generation, state == null ? null : state.engineId);
            carryOut(controller.backendFailed(generation, kind, outcome, now));
        }
    }

    private Map<String, Object> statusFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("role", "agent");
        fields.put("backend", backend.value());
        fields.put("incarnation", incarnation);
        fields.put("draining", drain.isDraining());
        fields.putAll(ControlPlaneStatus.ofAgent(configVersion, newestVersion).fields());
        fields.putAll(CostFields.of(frames, control));
        return fields;
    }

    private void tick() {
        long now = ControlLoop.now();
        carryOut(controller.tick(now));
        drain.tick(controller.unacknowledgedGenerations());
        plane.tick(now);
        configVersion = plane.version();
        newestVersion = plane.newestKnown();
        lastStatus = controller.status(now);
        if (now >= nextStatusMillis) {
            sendStatus(now);
        }
        if (!settings.isPlain() && now >= nextLoadMillis) {
            nextLoadMillis = now + LOAD_MILLIS;
            engine.get("/load", node -> control.execute(() -> load(node)));
        }
    }

    private void load(JsonNode node) {
        if (node == null) {
            return;
        }
        long now = ControlLoop.now();
        EngineLoad load = new EngineLoad(
                now - node.path("ageMillis").asLong(),
                node.path("usedTokens").asLong(),
                node.path("running").asInt(),
                node.path("preemptions").asLong());
        carryOut(controller.load(load, now));
    }

    /** Asks the engine for the streams of an earlier incarnation. */
    private void rebuild() {
        engine.get(
                "/v1/streams",
                node -> control.execute(() -> {
                    long now = ControlLoop.now();
                    if (node != null) {
                        node.path("streams").forEach(stream -> found(stream, now));
                    }
                    carryOut(controller.rebuildCompleted(now));
                }));
    }

    private void found(JsonNode stream, long now) {
        String tag = stream.path("request_id").asText();
        int split = tag.indexOf(TAG_SEPARATOR);
        if (split < 0) {
            return;
        }
        try {
            GenerationId generation = GenerationId.parse(tag.substring(0, split));
            if (generation.backend().equals(backend) && !calls.containsKey(generation)) {
                calls.put(generation, new CallState(true, stream.path("id").asText()));
                carryOut(controller.engineStreamFound(generation, new CustomerId(tag.substring(split + 1)), now));
            }
        } catch (IllegalArgumentException e) {
            LOG.warn("The engine holds a stream that is not ours: {}.", tag);
        }
    }

    private void carryOut(List<AgentAction> actions) {
        for (AgentAction action : actions) {
            if (action instanceof AgentAction.StartCall a) {
                startCall(a);
            } else if (action instanceof AgentAction.CancelCall a) {
                crashes.ended(a.generation(), ControlLoop.now());
                CallState state = calls.remove(a.generation());
                engine.cancel(a.generation(), state == null ? null : state.engineId);
            } else if (action instanceof AgentAction.ReattachCall a) {
                CallState state = calls.get(a.generation());
                if (state != null && state.engineId != null) {
                    engine.reattach(a.generation(), state.engineId, a.offset());
                }
            } else {
                send(action);
            }
        }
    }

    private void startCall(AgentAction.StartCall a) {
        boolean isModel = !a.work().isPlain();
        CallState state = new CallState(a.work().isRepeatable(), null);
        state.tag = a.generation().toString() + TAG_SEPARATOR + a.work().customer();
        calls.put(a.generation(), state);
        if (isModel) {
            crashes.started(a, ControlLoop.now());
            engine.generate(a.generation(), state.tag, a.call());
        } else {
            engine.plain(a.generation(), a.call(), a.work().isRepeatable());
        }
    }

    private void send(AgentAction action) {
        Message message = Messages.of(action);
        if (message != null) {
            sendTo(EntryOf.action(action), message);
        }
    }

    @Override
    public void received(NodeId entry, Message message) {
        long now = ControlLoop.now();
        plane.received(entry, message);
        if (message instanceof ReserveMessage m) {
            carryOut(controller.reserve(new Reservation(m.attemptId(), entry, Messages.work(m, now)), now));
        } else if (message instanceof CancelReservationMessage m) {
            carryOut(controller.cancel(entry, m.attemptId(), now));
        } else if (message instanceof StartMessage m) {
            BackendCall call = new BackendCall(m.method(), m.path(), m.headers(), m.body());
            GrantId grant = new GrantId(m.incarnation(), m.sequence());
            carryOut(controller.start(entry, m.attemptId(), grant, call, now));
        } else if (message instanceof AckMessage m) {
            carryOut(controller.acknowledged(GenerationId.parse(m.generation()), m.offset(), now));
        } else if (message instanceof ResumeMessage m) {
            GenerationReader reader = new GenerationReader(entry, m.attemptId());
            GenerationId generation = GenerationId.parse(m.generation());
            carryOut(controller.resume(reader, new CustomerId(m.customer()), generation, m.offset(), now));
        } else if (message instanceof RevokeMessage m) {
            GrantId grant = new GrantId(m.incarnation(), m.sequence());
            carryOut(controller.revoke(entry, m.attemptId(), grant, now));
        } else if (message instanceof AttemptMessage) {
            LOG.warn("An entry sent a message that only agents send.");
        }
    }

    @Override
    public void introduced(NodeId entry, FrameConnection connection) {
        long now = ControlLoop.now();
        FrameConnection previous = entries.put(entry, connection);
        if (previous != null) {
            previous.close("the entry connected again");
            carryOut(controller.entryConnectionLost(entry, now));
        }
        connection.send(new HelloMessage(
                backend.value(),
                "agent",
                incarnation,
                MessageCodec.PROTOCOL_VERSION,
                configVersion,
                Addresses.format(address)));
        connection.send(Messages.of(controller.status(now), configVersion, crashes.texts(now)));
        LOG.info("Entry {} is connected.", entry);
    }

    @Override
    public void lost(NodeId entry, FrameConnection connection, String reason) {
        if (entries.remove(entry, connection)) {
            plane.entryConnectionLost(entry);
            LOG.info("Entry {} is disconnected: {}.", entry, reason);
            carryOut(controller.entryConnectionLost(entry, ControlLoop.now()));
        }
    }

    /** Passes the events of the backend server to the control thread. */
    private final class Events implements EngineCalls {
        @Override
        public void notReached(GenerationId generation) {
            control.execute(() -> {
                CallState state = calls.get(generation);
                if (state != null && state.engineId != null) {
                    tryAgain(generation, state, "the engine refuses connections");
                } else {
                    calls.remove(generation);
                    crashes.ended(generation, ControlLoop.now());
                    carryOut(controller.backendNotReached(generation, ControlLoop.now()));
                }
            });
        }

        @Override
        public void accepted(GenerationId generation, String engineId) {
            control.execute(() -> {
                CallState state = calls.get(generation);
                if (state == null) {
                    engine.cancel(generation, engineId);
                } else {
                    state.engineId = engineId;
                }
            });
        }

        @Override
        public void tokens(GenerationId generation, long offset, List<String> texts) {
            control.execute(() -> {
                CallState state = calls.get(generation);
                if (state != null) {
                    state.emitted = Math.max(state.emitted, offset + texts.size());
                    state.reattaches = 0;
                    carryOut(controller.engineTokens(generation, offset, texts, ControlLoop.now()));
                }
            });
        }

        @Override
        public void ended(GenerationId generation, long totalTokens, String finishReason) {
            control.execute(() -> {
                calls.remove(generation);
                crashes.ended(generation, ControlLoop.now());
                carryOut(controller.engineEnded(generation, totalTokens, finishReason, ControlLoop.now()));
            });
        }

        @Override
        public void answered(GenerationId generation, int status, Map<String, String> headers, Payload body) {
            control.execute(() -> {
                calls.remove(generation);
                Map<String, String> kept = HeaderRules.ofResponse(headers);
                carryOut(controller.backendAnswered(generation, status, kept, body, ControlLoop.now()));
            });
        }

        @Override
        public void refused(GenerationId generation, int status) {
            control.execute(() -> {
                CallState state = calls.remove(generation);
                crashes.ended(generation, ControlLoop.now());
                boolean isReattached = state != null && state.engineId != null;
                ErrorKind kind = isReattached ? ErrorKind.GENERATION_LOST : EngineErrors.kindOf(status);
                boolean mayHaveRun = isReattached || (status >= 500 && status != 503);
                RunOutcome outcome = mayHaveRun ? RunOutcome.RAN : RunOutcome.NOT_RUN;
                LOG.warn("The engine refused {} with status {}.", generation, status);
                carryOut(controller.backendFailed(generation, kind, outcome, ControlLoop.now()));
            });
        }

        @Override
        public void broken(GenerationId generation, String reason) {
            control.execute(() -> {
                CallState state = calls.get(generation);
                if (state == null) {
                    return;
                }
                if (settings.isPlain()) {
                    calls.remove(generation);
                    ErrorKind kind = state.isRepeatable ? ErrorKind.BACKEND_FAILED : ErrorKind.OUTCOME_UNKNOWN;
                    LOG.warn("The call {} broke: {}.", generation, reason);
                    carryOut(controller.backendFailed(generation, kind, RunOutcome.UNKNOWN, ControlLoop.now()));
                } else {
                    tryAgain(generation, state, reason);
                }
            });
        }

        private void tryAgain(GenerationId generation, CallState state, String reason) {
            state.reattaches++;
            LOG.warn("The connection of {} broke: {}; attempt {} to read on.", generation, reason, state.reattaches);
            if (state.reattaches > MAX_REATTACHES) {
                lose(generation, state);
            } else if (state.engineId != null) {
                engine.reattach(generation, state.engineId, state.emitted);
            } else {
                engine.get("/v1/streams", node -> control.execute(() -> find(generation, state, node)));
            }
        }

        private void find(GenerationId generation, CallState state, JsonNode node) {
            if (node != null) {
                for (JsonNode stream : node.path("streams")) {
                    if (stream.path("request_id").asText().equals(state.tag)) {
                        state.engineId = stream.path("id").asText();
                        engine.reattach(generation, state.engineId, state.emitted);
                        return;
                    }
                }
            }
            lose(generation, state);
        }

        private void lose(GenerationId generation, CallState state) {
            calls.remove(generation);
            // The entries must know the suspects before they run the lost requests elsewhere.
            crashes.lost(generation, ControlLoop.now(), AgentDaemon.this::sendStatus);
            ErrorKind kind = state.emitted > 0 ? ErrorKind.GENERATION_LOST : ErrorKind.BACKEND_FAILED;
            RunOutcome outcome = state.emitted > 0 ? RunOutcome.RAN : RunOutcome.UNKNOWN;
            carryOut(controller.backendFailed(generation, kind, outcome, ControlLoop.now()));
        }
    }
}
