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

/** The agent process: accepts frames from entries and runs their calls on the local backend server. */
final class AgentDaemon implements AutoCloseable, EntryConnection.Listener {
    private static final Logger LOG = LogManager.getLogger("agent");
    private static final long LOAD_PERIOD_MILLIS = 500;
    private static final int MAX_REATTACHES = 3;
    private static final char TAG_SEPARATOR = '~';

    private final AgentSettings settings;
    private final long incarnation = Incarnations.next();
    private final BackendId backend;
    private final CrashTracker crashes;
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
    private final DrainCoordinator drain = new DrainCoordinator(LOG, this::stopNewWork, this::runningWork, this::abort);
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
        this.crashes = new CrashTracker(backend, incarnation);
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
        this.worker = XnioWorkerFactory.create("agent-io");
        this.engine = new EngineClient(settings.server(), worker, new EngineEvents());
    }

    /** Starts the agent and returns the address that entries connect to. */
    InetSocketAddress start() {
        control.start();
        if (!settings.isPlain()) {
            control.execute(this::recoverStreams);
        }
        registry.gauge("running", () -> () -> lastStatus == null ? 0 : lastStatus.running());
        registry.gauge("waiting", () -> () -> lastStatus == null ? 0 : lastStatus.waiting());
        registry.gauge("used_tokens", () -> () -> lastStatus == null ? 0 : lastStatus.usedTokens());
        LoopMetrics.register(registry, frames, control);
        admin = new AdminServer(settings.admin(), registry, () -> !drain.isDraining(), this::statusFields, null);
        adminAddress = admin.start();
        address = frames.listen(settings.listen(), () -> new EntryConnection(control, this));
        LOG.info("Agent of {} listens on {}, incarnation {}.", backend, Addresses.format(address), incarnation);
        return address;
    }

    /** Returns the address of the admin server. */
    InetSocketAddress adminAddress() {
        return adminAddress;
    }

    /** Starts a graceful stop; the process may exit once {@link #isDrained} returns true. */
    void drain(DrainReason reason) {
        control.execute(() -> drain.begin(reason, drainMillis));
    }

    /** Returns whether a graceful stop has finished. */
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

    /** Applies the settings of a document version that is in force. */
    private void apply(VersionedDocument next) {
        drainMillis = next.document().limits().drainMillis();
        scheduler.weights(next.document().customers().stream()
                .collect(Collectors.toMap(c -> new CustomerId(c.name()), CustomerSpec::weight)));
    }

    private void sendTo(NodeId entry, Message message) {
        FrameConnection connection = entries.get(entry);
        if (connection != null) {
            connection.send(message);
        }
    }

    private void sendStatus(long now) {
        nextStatusMillis = now + StatusInterval.millis(entries.size());
        Message status = MessageConverter.toMessage(controller.status(now), configVersion, crashes.encodeRecent(now));
        entries.values().forEach(connection -> connection.send(status));
    }

    private List<RunningWork> runningWork() {
        return controller.runningWork();
    }

    private void stopNewWork() {
        carryOut(controller.drain(ControlLoop.now()));
        nextStatusMillis = 0;
    }

    private void abort(DrainAction action) {
        long now = ControlLoop.now();
        if (action instanceof DrainAction.RunElsewhere a) {
            endCall(a.attempt(), ErrorKind.DRAINING, RunOutcome.UNKNOWN, now);
        } else if (action instanceof DrainAction.EndWork a) {
            endCall(a.attempt(), a.kind(), a.outcome(), now);
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
        fields.putAll(LoopMetrics.statusFields(frames, control));
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
            nextLoadMillis = now + LOAD_PERIOD_MILLIS;
            engine.getJson("/load", node -> control.execute(() -> engineLoadRead(node)));
        }
    }

    private void engineLoadRead(JsonNode node) {
        if (node == null) {
            return;
        }
        long now = ControlLoop.now();
        carryOut(controller.load(EngineLoadReader.read(node, now), now));
    }

    /** Recovers the streams of an earlier incarnation that the engine still runs. */
    private void recoverStreams() {
        engine.getJson(
                "/v1/streams",
                node -> control.execute(() -> {
                    long now = ControlLoop.now();
                    if (node != null) {
                        node.path("streams").forEach(stream -> streamFound(stream, now));
                    }
                    carryOut(controller.rebuildCompleted(now));
                }));
    }

    private void streamFound(JsonNode stream, long now) {
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
            LOG.warn("The engine runs a stream with a malformed request id: {}.", tag);
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
        state.requestTag = a.generation().toString() + TAG_SEPARATOR + a.work().customer();
        calls.put(a.generation(), state);
        if (isModel) {
            crashes.started(a, ControlLoop.now());
            engine.startGeneration(a.generation(), state.requestTag, a.call());
        } else {
            engine.startPlainCall(a.generation(), a.call());
        }
    }

    private void send(AgentAction action) {
        Message message = MessageConverter.toMessage(action);
        if (message != null) {
            sendTo(ActionRecipient.of(action), message);
        }
    }

    @Override
    public void received(NodeId entry, Message message) {
        long now = ControlLoop.now();
        plane.received(entry, message);
        if (message instanceof ReserveMessage m) {
            carryOut(controller.reserve(new Reservation(m.attemptId(), entry, MessageConverter.workItem(m, now)), now));
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
            LOG.warn("An entry sent a message that only agents may send.");
        }
    }

    @Override
    public void entryConnected(NodeId entry, FrameConnection connection) {
        long now = ControlLoop.now();
        FrameConnection previous = entries.put(entry, connection);
        if (previous != null) {
            previous.close("the entry opened a new connection");
            carryOut(controller.entryConnectionLost(entry, now));
        }
        connection.send(new HelloMessage(
                backend.value(),
                "agent",
                incarnation,
                MessageCodec.PROTOCOL_VERSION,
                configVersion,
                Addresses.format(address)));
        connection.send(MessageConverter.toMessage(controller.status(now), configVersion, crashes.encodeRecent(now)));
        LOG.info("Entry {} is connected.", entry);
    }

    @Override
    public void entryDisconnected(NodeId entry, FrameConnection connection, String reason) {
        if (entries.remove(entry, connection)) {
            plane.entryConnectionLost(entry);
            LOG.info("Entry {} is disconnected: {}.", entry, reason);
            carryOut(controller.entryConnectionLost(entry, ControlLoop.now()));
        }
    }

    /** Passes the events of calls on the backend server to the control thread. */
    private final class EngineEvents implements EngineCallListener {
        @Override
        public void backendNotReached(GenerationId generation) {
            control.execute(() -> {
                CallState state = calls.get(generation);
                if (state != null && state.engineId != null) {
                    reattach(generation, state, "the engine does not accept connections");
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
                long now = ControlLoop.now();
                if (EngineErrors.outcomeOf(status, headers) == RunOutcome.UNKNOWN) {
                    LOG.warn("Call {} ended with status {}; it may have run.", generation, status);
                    carryOut(controller.backendFailed(generation, ErrorKind.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN, now));
                    return;
                }
                Map<String, String> filtered = HeaderFilter.filterResponse(headers);
                carryOut(controller.backendAnswered(generation, status, filtered, body, now));
            });
        }

        @Override
        public void refused(GenerationId generation, int status, Map<String, String> headers) {
            control.execute(() -> {
                CallState state = calls.remove(generation);
                crashes.ended(generation, ControlLoop.now());
                boolean isReattached = state != null && state.engineId != null;
                RunOutcome outcome = isReattached ? RunOutcome.RAN : EngineErrors.outcomeOf(status, headers);
                ErrorKind kind = isReattached ? ErrorKind.GENERATION_LOST : EngineErrors.kindOf(status, outcome);
                LOG.warn("The engine rejected {} with status {}.", generation, status);
                carryOut(controller.backendFailed(generation, kind, outcome, ControlLoop.now()));
            });
        }

        @Override
        public void failed(GenerationId generation, String reason) {
            control.execute(() -> {
                CallState state = calls.get(generation);
                if (state == null) {
                    return;
                }
                if (settings.isPlain()) {
                    calls.remove(generation);
                    ErrorKind kind = state.isRepeatable ? ErrorKind.BACKEND_FAILED : ErrorKind.OUTCOME_UNKNOWN;
                    LOG.warn("Call {} failed: {}.", generation, reason);
                    carryOut(controller.backendFailed(generation, kind, RunOutcome.UNKNOWN, ControlLoop.now()));
                } else {
                    reattach(generation, state, reason);
                }
            });
        }

        private void reattach(GenerationId generation, CallState state, String reason) {
            state.reattaches++;
            LOG.warn("Stream of {} failed: {}; reattach attempt {}.", generation, reason, state.reattaches);
            if (state.reattaches > MAX_REATTACHES) {
                generationLost(generation, state);
            } else if (state.engineId != null) {
                engine.reattach(generation, state.engineId, state.emitted);
            } else {
                engine.getJson("/v1/streams", node -> control.execute(() -> reattachByTag(generation, state, node)));
            }
        }

        private void reattachByTag(GenerationId generation, CallState state, JsonNode node) {
            if (node != null) {
                for (JsonNode stream : node.path("streams")) {
                    if (stream.path("request_id").asText().equals(state.requestTag)) {
                        state.engineId = stream.path("id").asText();
                        engine.reattach(generation, state.engineId, state.emitted);
                        return;
                    }
                }
            }
            generationLost(generation, state);
        }

        private void generationLost(GenerationId generation, CallState state) {
            calls.remove(generation);
            // Entries must learn of the suspect requests before they retry the lost ones elsewhere.
            crashes.generationLost(generation, ControlLoop.now(), AgentDaemon.this::sendStatus);
            ErrorKind kind = state.emitted > 0 ? ErrorKind.GENERATION_LOST : ErrorKind.BACKEND_FAILED;
            RunOutcome outcome = state.emitted > 0 ? RunOutcome.RAN : RunOutcome.UNKNOWN;
            carryOut(controller.backendFailed(generation, kind, outcome, ControlLoop.now()));
        }
    }
}
