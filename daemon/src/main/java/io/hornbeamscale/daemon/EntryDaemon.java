package io.hornbeamscale.daemon;

import io.hornbeamscale.core.claim.ClaimController;
import io.hornbeamscale.core.claim.ClaimSettings;
import io.hornbeamscale.core.dispatch.BackendDescriptor;
import io.hornbeamscale.core.dispatch.DispatcherConfig;
import io.hornbeamscale.core.dispatch.ReservationDispatcher;
import io.hornbeamscale.core.document.BackendSpec;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.LimitsSpec;
import io.hornbeamscale.core.document.VersionedDocument;
import io.hornbeamscale.core.drain.DrainAction;
import io.hornbeamscale.core.drain.DrainReason;
import io.hornbeamscale.core.entry.EntryAction;
import io.hornbeamscale.core.entry.EntryController;
import io.hornbeamscale.core.entry.EntryRequest;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.id.ZoneId;
import io.hornbeamscale.core.quarantine.QuarantineController;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import io.hornbeamscale.core.stream.EventId;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.WorkItem;
import io.hornbeamscale.daemon.control.CustomerLimitExchange;
import io.hornbeamscale.daemon.control.EntryControlPlane;
import io.hornbeamscale.external.CallPolicy;
import io.hornbeamscale.external.HttpKeyValueStore;
import io.hornbeamscale.external.KeyValueStore;
import io.hornbeamscale.external.PlatformIo;
import io.hornbeamscale.gateway.ControlLoop;
import io.hornbeamscale.wire.FrameLoop;
import io.hornbeamscale.wire.message.BackendStatusMessage;
import io.hornbeamscale.wire.message.ClaimAnswerMessage;
import io.hornbeamscale.wire.message.ClaimForwardMessage;
import io.hornbeamscale.wire.message.LimitShareMessage;
import io.hornbeamscale.wire.message.Message;
import io.hornbeamscale.wire.message.QuarantineMessage;
import io.hornbeamscale.wire.message.RefuseMessage;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.Options;

/** The entry process: accepts requests from callers over HTTP and forwards them to agents. */
final class EntryDaemon implements AutoCloseable, AgentConnections.Listener {
    private static final Logger LOG = LogManager.getLogger("entry");
    /** The greatest {@code maxHeaderBytes} allowed, so that {@link CallerHandler} is the one to enforce the setting. */
    private static final int UNDERTOW_MAX_HEADER_BYTES = 1 << 20;

    private static final int IO_THREADS = 4;
    private static final long QUARANTINE_MILLIS = TimeUnit.DAYS.toMillis(1);
    private static final long CLAIM_RETENTION_MILLIS = LimitsSpec.defaults().claimRetentionMillis();
    private static final long EPOCH_OFFSET_MILLIS = System.currentTimeMillis() - ControlLoop.now();

    private final EntrySettings settings;
    private final ReservationDispatcher dispatcher;
    private final EntryController controller;
    private final ControlLoop control;
    private final FrameLoop frames;
    private final AgentConnections agents;
    private final PlatformIo platform;
    private final KeyValueStore store;
    private final EntryMetrics metrics = new EntryMetrics();
    private final CallerRegistry callers = new CallerRegistry(metrics);
    private final CustomerLimitExchange limits;
    private final QuarantineGate quarantine;
    private final AgentMessageHandler agentMessageHandler;
    private List<NodeId> liveEntries = List.of();
    private volatile RequestReader reader = new RequestReader(Document.empty());
    private volatile int openRequests;
    private volatile int knownAgents;
    private final DrainCoordinator drain;
    private final long incarnation = Incarnations.next();
    private final Map<BackendId, BackendStatus> backendStatuses = new HashMap<>();
    private volatile EntryControlPlane plane;
    private Document document = Document.empty();
    private InetSocketAddress framesAddress;
    private Undertow server;
    private AdminServer admin;
    private InetSocketAddress adminAddress;

    EntryDaemon(EntrySettings settings) {
        this.settings = settings;
        DispatcherConfig config = DispatcherConfig.builder(new ZoneId(settings.zone()), new RegionId(settings.region()))
                .build();
        this.dispatcher = new ReservationDispatcher(config, new SplittableRandom(Incarnations.next()));
        ClaimSettings claims = ClaimSettings.standard(CLAIM_RETENTION_MILLIS, EPOCH_OFFSET_MILLIS);
        this.controller = new EntryController(
                dispatcher,
                new ClaimController(new NodeId(settings.node()), claims, new SplittableRandom(incarnation)));
        this.agentMessageHandler = new AgentMessageHandler(controller);
        this.platform = new PlatformIo(new SplittableRandom(incarnation + 1));
        this.store = settings.store() == null
                ? null
                : new HttpKeyValueStore(platform, Addresses.of(settings.store()), CallPolicy.DEFAULT);
        this.control = new ControlLoop("entry", this::tick);
        this.drain = new DrainCoordinator(
                LOG,
                () -> carryOut(controller.drain(ControlLoop.now())),
                () -> controller.responses().runningWork(),
                this::abort);
        this.frames = new FrameLoop("entry-frames");
        this.agents = new AgentConnections(settings.node(), incarnation, frames, control, this);
        this.limits = new CustomerLimitExchange(
                new NodeId(settings.node()), dispatcher.limits(), (node, m) -> plane.sendToEntry(node, m));
        this.quarantine = new QuarantineGate(
                new QuarantineController(QUARANTINE_MILLIS, EPOCH_OFFSET_MILLIS, new SplittableRandom(incarnation + 2)),
                new QuarantineHost());
    }

    /** Starts the entry and returns the address that callers connect to. */
    InetSocketAddress start() {
        framesAddress = frames.listen(settings.frames(), () -> plane.accept());
        plane = EntryPlaneFactory.create(
                settings, framesAddress, incarnation, frames, platform, store, control, new PlaneHost());
        if (settings.document() != null) {
            Document first = SettingsFiles.document(settings.document());
            control.execute(() -> apply(first));
        }
        control.start();
        metrics.gauge("config_version", () -> plane.status().version());
        metrics.gauge("open_requests", () -> openRequests);
        metrics.gauge("known_agents", () -> knownAgents);
        metrics.gauge("dropped_frames", controller::droppedFrames);
        LoopMetrics.register(metrics.registry(), frames, control);
        admin = new AdminServer(
                settings.admin(),
                metrics.registry(),
                this::isReady,
                this::statusFields,
                ConsoleFactory.create(settings, store));
        adminAddress = admin.start();
        server = Undertow.builder()
                .addHttpListener(
                        settings.listen().getPort(),
                        settings.listen().getAddress().getHostAddress(),
                        new CallerHandler(this, settings.maxHeaderBytes()))
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(1)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, UNDERTOW_MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setSocketOption(Options.TCP_NODELAY, true)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, settings.maxConnections())
                .setSocketOption(Options.CONNECTION_LOW_WATER, settings.maxConnections())
                .build();
        server.start();
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        LOG.info("Entry {} listens on {}.", settings.node(), Addresses.format(address));
        return address;
    }

    /** Puts a document in force. Must be called on the control thread. */
    void apply(Document next) {
        document = next;
        reader = new RequestReader(document);
        List<BackendDescriptor> descriptors = new ArrayList<>();
        for (BackendSpec spec : document.backends()) {
            BackendId backend = new BackendId(spec.name());
            descriptors.add(new BackendDescriptor(
                    backend,
                    new ServiceId(spec.service()),
                    spec.model(),
                    new ZoneId(spec.zone()),
                    new RegionId(spec.region())));
        }
        long now = ControlLoop.now();
        limits.apply(document, now);
        carryOut(controller.watch(descriptors, now));
        agents.setAddresses(plane.resolveAgents(document));
    }

    /** Returns the version of the document in force, 0 for none. */
    long configVersion() {
        return plane.status().version();
    }

    /** Puts a document in force. May be called on any thread. */
    void setDocument(Document next) {
        control.execute(() -> apply(next));
    }

    RequestReader reader() {
        return reader;
    }

    EntryMetrics metrics() {
        return metrics;
    }

    /** Submits a request to the control thread. */
    void submit(EntryRequest request, HttpServerExchange exchange) {
        RequestId id = request.work().request();
        CallerExchange response = new CallerExchange(exchange);
        Caller caller = new Caller(
                id,
                response,
                request.isStreaming(),
                request.work().model(),
                request.work().promptTokens());
        watchConnection(id, exchange, response);
        control.execute(() -> {
            callers.add(id, caller);
            long now = ControlLoop.now();
            if (quarantine.tryAdmit(request, now)) {
                carryOut(controller.submit(request, now));
            } else {
                callers.carryOut(new EntryAction.Fail(id, ErrorKind.REQUEST_QUARANTINED, RunOutcome.NOT_RUN, 0, 0));
            }
        });
    }

    /** Submits the resumption of a stream to the control thread. */
    void resume(RequestId id, CustomerId customer, EventId last, HttpServerExchange exchange) {
        CallerExchange response = new CallerExchange(exchange);
        Caller caller = new Caller(id, response, true, "", 0);
        watchConnection(id, exchange, response);
        control.execute(() -> {
            callers.add(id, caller);
            carryOut(controller.resume(id, customer, last, ControlLoop.now()));
        });
    }

    /** Starts a graceful stop; the process may exit once {@link #isDrained} returns true. */
    void drain(DrainReason reason) {
        control.execute(() -> {
            drain.begin(reason, reader.limits().drainMillis());
            plane.announceLeaving();
        });
    }

    /** Returns whether a graceful stop has finished and every response has been sent or its caller has disconnected. */
    boolean isDrained() {
        return drain.isOver() && metrics.unsentResponses() == 0;
    }

    /** Returns the address of the admin server. */
    InetSocketAddress adminAddress() {
        return adminAddress;
    }

    /** Returns the address that other entries connect to. */
    InetSocketAddress framesAddress() {
        return framesAddress;
    }

    /** Returns the number of queued and running requests, as of the last tick. */
    int openRequests() {
        return openRequests;
    }

    /** Returns the number of connected agents that have sent their status, as of the last tick. */
    int knownAgents() {
        return knownAgents;
    }

    @Override
    public void close() {
        if (server != null) {
            server.stop();
            admin.close();
        }
        control.close();
        frames.close();
        platform.close();
    }

    @Override
    public void received(BackendId backend, Message message) {
        long now = ControlLoop.now();
        plane.received(backend, message);
        if (message instanceof RefuseMessage m && ErrorKind.ofCode(m.code()) == ErrorKind.DRAINING) {
            plane.refusedForDraining(backend);
        }
        if (message instanceof BackendStatusMessage m) {
            BackendStatus status = MessageConverter.status(m);
            backendStatuses.put(backend, status);
            quarantine.crashesReported(m.suspects(), now);
            carryOut(controller.status(plane.isLeaving(backend) ? EntryPlaneFactory.asDraining(status) : status, now));
        } else {
            carryOut(agentMessageHandler.received(backend, message, now));
        }
    }

    @Override
    public void connectionLost(BackendId backend) {
        backendStatuses.remove(backend);
        plane.agentConnectionLost(backend);
        carryOut(controller.connectionLost(backend, ControlLoop.now()));
    }

    private void watchConnection(RequestId id, HttpServerExchange exchange, CallerExchange response) {
        metrics.responseStarted();
        CallerConnectionListener.watch(exchange, response, metrics::responseEnded, () -> {
            metrics.responseEnded();
            control.execute(() -> callerDisconnected(id));
        });
    }

    private void callerDisconnected(RequestId id) {
        if (callers.remove(id)) {
            metrics.countDisconnected();
            carryOut(controller.callerDisconnected(id, ControlLoop.now()));
        }
    }

    private boolean isReady() {
        return !drain.isDraining() && knownAgents > 0;
    }

    private Map<String, Object> statusFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("role", "entry");
        fields.put("node", settings.node());
        fields.put("open_requests", openRequests);
        fields.put("known_agents", knownAgents);
        fields.put("draining", drain.isDraining());
        fields.putAll(LoopMetrics.statusFields(frames, control));
        fields.putAll(plane.status().fields());
        return fields;
    }

    private void abort(DrainAction action) {
        long now = ControlLoop.now();
        if (action instanceof DrainAction.EndWork a) {
            RequestId id = a.attempt().request();
            carryOut(controller.responses().abort(id, a.kind(), a.outcome(), a.offset(), now));
        } else if (action instanceof DrainAction.RunElsewhere a) {
            RequestId id = a.attempt().request();
            carryOut(controller.responses().abort(id, ErrorKind.DRAINING, RunOutcome.UNKNOWN, 0, now));
        }
    }

    private void tick() {
        drain.tick(0);
        plane.tick(ControlLoop.now());
        limits.tick(ControlLoop.now());
        quarantine.tick(callers::isWaiting, ControlLoop.now());
        carryOut(controller.tick(ControlLoop.now()));
        agents.tick(ControlLoop.now());
        openRequests = callers.size();
        knownAgents = agents.knownCount();
    }

    private void carryOut(List<EntryAction> actions) {
        long now = ControlLoop.now();
        for (EntryAction action : actions) {
            if (action instanceof EntryAction.SendAck a) {
                agents.send(a.backend(), MessageConverter.toMessage(a));
            } else if (action instanceof EntryAction.SendReserve a) {
                WorkItem work = quarantine.markSuspect(a.work(), now);
                EntryAction.SendReserve marked = new EntryAction.SendReserve(a.backend(), a.attempt(), work);
                agents.send(a.backend(), MessageConverter.toMessage(marked, now));
            } else if (action instanceof EntryAction.SendCancel a) {
                agents.send(a.backend(), MessageConverter.toMessage(a));
            } else if (action instanceof EntryAction.SendStart a) {
                sendStart(a, now);
            } else if (action instanceof EntryAction.SendResume a) {
                agents.send(a.backend(), MessageConverter.toMessage(a));
            } else if (action instanceof EntryAction.SendRevoke a) {
                agents.send(a.backend(), MessageConverter.toMessage(a));
            } else if (action instanceof EntryAction.SendClaimForward a) {
                plane.sendToEntry(a.writer(), ClaimMessageCodec.encode(a.forward()));
            } else if (action instanceof EntryAction.SendClaimAnswer a) {
                plane.sendToEntry(a.entry(), ClaimMessageCodec.encode(a.answer()));
            } else if (action instanceof EntryAction.CallStore a) {
                callStore(a.call(), r -> carryOut(controller.claims().storeReplied(a.call(), r, ControlLoop.now())));
            } else {
                if (action instanceof EntryAction.Finish a) {
                    quarantine.completed(a.request(), now);
                } else if (action instanceof EntryAction.Deliver a) {
                    quarantine.tokensReceived(a.request(), now);
                }
                callers.carryOut(action);
            }
        }
    }

    private void callStore(StoreCall call, Consumer<StoreReply> then) {
        CompletionStage<StoreReply> reply = store == null
                ? CompletableFuture.completedStage(new StoreReply.NoAnswer(call.key()))
                : store.execute(call).exceptionally(e -> StoreFailures.logAndReply(call, e));
        var unused = reply.thenAccept(r -> control.execute(() -> then.accept(r)));
    }

    private void sendStart(EntryAction.SendStart a, long now) {
        try {
            agents.send(a.backend(), MessageConverter.toMessage(a, now));
        } catch (ServingException e) {
            agents.send(a.backend(), MessageConverter.toMessage(new EntryAction.SendCancel(a.backend(), a.attempt())));
            carryOut(controller.responses().failed(a.attempt(), e.kind(), RunOutcome.NOT_RUN, now));
        }
    }

    /** Carries out the actions of the quarantine controller. */
    private final class QuarantineHost implements QuarantineGate.Host {
        @Override
        public void callStore(StoreCall call) {
            EntryDaemon.this.callStore(call, r -> quarantine.storeReplied(call, r, ControlLoop.now()));
        }

        @Override
        public void sendPeers(Message message) {
            for (NodeId entry : liveEntries) {
                if (!entry.value().equals(settings.node())) {
                    plane.sendToEntry(entry, message);
                }
            }
        }

        @Override
        public void refuse(RequestId request) {
            LOG.warn("Request {} crashed several engines and is refused.", request);
            long now = ControlLoop.now();
            carryOut(controller.responses().abort(request, ErrorKind.REQUEST_QUARANTINED, RunOutcome.RAN, 0, now));
        }
    }

    /** Carries out the actions of the control plane. */
    private final class PlaneHost implements EntryControlPlane.ActionHandler {
        @Override
        public void apply(VersionedDocument next) {
            EntryDaemon.this.apply(next.document());
        }

        @Override
        public void agentAddressesChanged() {
            agents.setAddresses(plane.resolveAgents(document));
        }

        @Override
        public void stopUsingBackend(BackendId backend) {
            BackendStatus last = backendStatuses.get(backend);
            if (last != null && plane.isLeaving(backend)) {
                carryOut(controller.status(EntryPlaneFactory.asDraining(last), ControlLoop.now()));
            }
        }

        @Override
        public void sendToAgent(BackendId backend, Message message) {
            agents.send(backend, message);
        }

        @Override
        public void receivedFromPeer(NodeId from, Message message) {
            long now = ControlLoop.now();
            if (message instanceof ClaimForwardMessage m) {
                carryOut(controller.claims().forwarded(from, ClaimMessageCodec.decodeForward(m), now));
            } else if (message instanceof ClaimAnswerMessage m) {
                carryOut(controller.claims().answered(ClaimMessageCodec.decodeAnswer(m), now));
            } else if (message instanceof LimitShareMessage m) {
                limits.received(from, m, now);
            } else if (message instanceof QuarantineMessage m) {
                quarantine.received(m, now);
            }
        }

        @Override
        public void entriesChanged(List<NodeId> live) {
            long now = ControlLoop.now();
            liveEntries = List.copyOf(live);
            limits.entriesChanged(live, now);
            carryOut(controller.claims().setMembers(live, now));
        }

        @Override
        public void drainSelf() {
            drain.begin(DrainReason.LISTED_AS_LEAVING, reader.limits().drainMillis());
        }
    }
}
