package io.hornbeamscale.daemon;

import com.codahale.metrics.MetricRegistry;
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

    private final AgentSettings settings;
    private final long incarnation = Incarnations.next();
    private final BackendId backend;
    private final CrashTracker crashes;
    private final MemoryScheduler scheduler;
    private final AgentController controller;
    private final ControlLoop control;
    private final FrameLoop frames;
    private final XnioWorker worker;
    private final BackendCalls calls;
    private final Map<NodeId, FrameConnection> entries = new HashMap<>();
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
        this.calls = new BackendCalls(settings, worker, control, controller, crashes, this::carryOut, this::sendStatus);
    }

    /** Starts the agent and returns the address that entries connect to. */
    InetSocketAddress start() {
        control.start();
        if (!settings.isPlain()) {
            control.execute(calls::recoverStreams);
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
            calls.cancel(generation);
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
            calls.readLoad();
        }
    }

    private void carryOut(List<AgentAction> actions) {
        for (AgentAction action : actions) {
            if (action instanceof AgentAction.StartCall a) {
                calls.start(a);
            } else if (action instanceof AgentAction.CancelCall a) {
                calls.cancel(a.generation());
            } else if (action instanceof AgentAction.ReattachCall a) {
                calls.reattach(a.generation(), a.offset());
            } else {
                send(action);
            }
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
}
