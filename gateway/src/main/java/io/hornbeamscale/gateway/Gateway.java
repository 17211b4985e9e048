package io.hornbeamscale.gateway;

import io.hornbeamscale.core.blackboard.Blackboard;
import io.hornbeamscale.core.blackboard.BlackboardKey;
import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetController;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.fleet.FleetSnapshot;
import io.hornbeamscale.core.fleet.StoreWatchController;
import io.hornbeamscale.core.limit.EntryRoster;
import io.hornbeamscale.core.placement.ServerLoad;
import io.hornbeamscale.core.quarantine.QuarantineController;
import io.hornbeamscale.core.quarantine.QuarantineUpdate;
import io.hornbeamscale.core.route.RouteDocument;
import io.hornbeamscale.core.store.StoreRevision;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.wire.FrameLoop;
import io.hornbeamscale.wire.QuarantineCodec;
import io.hornbeamscale.wire.message.EntryStatusMessage;
import io.hornbeamscale.wire.message.LeavingMessage;
import io.hornbeamscale.wire.message.StoreItemsMessage;
import io.hornbeamscale.wire.message.StoreItemsRequestMessage;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * An entry that forwards callers' requests directly to backend servers. One I/O thread handles all traffic and owns the
 * placement state. The control thread owns the document and the fleet and publishes both on the {@link Blackboard}.
 */
public final class Gateway implements AutoCloseable {
    /** The blackboard key of the document in force. */
    static final BlackboardKey<RouteDocument> DOCUMENT = new BlackboardKey<>("document", RouteDocument.class);

    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int POOLED_BUFFERS = 200;
    private static final int BUFFERS_PER_THREAD = 8;

    /** The interval between two ticks of the control thread, in milliseconds; each tick wakes the processor. */
    private static final long TICK_MILLIS = 50;

    /** The interval between two status messages to the other entries, in milliseconds, without the part per entry. */
    private static final long STATUS_INTERVAL_MILLIS = 200;

    /** What each receiving entry adds to the interval between two status messages, in milliseconds. */
    private static final long STATUS_INTERVAL_MILLIS_PER_ENTRY = 10;

    /** How long a request that crashed servers is refused, in milliseconds. */
    private static final long QUARANTINE_MILLIS = 600_000;

    /**
     * How long no entry may have had an answer from the store before the servers are polled directly, in milliseconds.
     */
    private static final long STORE_SILENCE_MILLIS = 400;

    /** The interval between two checks of a stopping process, in milliseconds. */
    private static final long STOP_CHECK_INTERVAL_MILLIS = 20;

    private static final long SWEEP_INTERVAL_MILLIS = 1_000;
    private static final double MICROS_PER_MILLI = 1_000;

    private final GatewaySettings settings;
    private final Blackboard blackboard = new Blackboard();
    private final ByteBufferPool buffers =
            new DefaultByteBufferPool(false, BUFFER_BYTES, POOLED_BUFFERS, BUFFERS_PER_THREAD);
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final DecisionLog log = new DecisionLog();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final FleetController fleet = new FleetController();
    private final FrameLoop frames = new FrameLoop("entries");
    private final TrafficState traffic;
    private final LeavingServerPoller leavingServers;
    private final ControlLoop control;
    private final StoreFollower follower;
    private final StoreWatchController watches;
    private final PeerConnections peers;
    private final StoreItemsExchange itemsExchange;
    private final EntryRegistration registration;
    private final QuarantineStore quarantineStore;
    private final StopController stopController;
    private final GatewayHandler handler;
    private final GatewayServer server;
    private final EntryRoster roster = new EntryRoster();
    private final StatusLoads statusLoads = new StatusLoads();
    private Set<String> rosterNames = Set.of();
    private long nextStatusMillis;
    private long peerStoreSeenMillis;
    private long leavingSignSequence;
    private long latestEra;

    /**
     * Creates an entry that is not started.
     *
     * @param settings the settings, not null
     * @param codec translates requests and responses, not null
     * @param schema names and decodes the store's items, not null
     * @param stores creates the store client, not null
     * @param random the source of jitter, not null
     */
    public Gateway(
            GatewaySettings settings,
            ExchangeCodec codec,
            StoreSchema schema,
            StoreFactory stores,
            RandomGenerator random) {
        this.settings = Arguments.notNull(settings, "settings");
        this.worker = TrafficWorker.create();
        this.thread = worker.getIoThread(0);
        stopController = new StopController(settings.graceMillis());
        BackendClient client = new BackendClient(thread, buffers);
        traffic = new TrafficState(thread, blackboard, codec, client, settings, stopController, metrics, log, random);
        traffic.setStatusSender(this::collectStatus);
        control = new ControlLoop("gateway", TICK_MILLIS, this::tick);
        traffic.setLeavingListener(server -> control.execute(() -> serverLeaving(server, "its response")));
        watches = new StoreWatchController(settings.node());
        MetadataStore store = new EraTrackingStore(
                stores.create(settings.storeAddress(), new BackendClient(thread, buffers), thread), this::eraSeen);
        follower = new StoreFollower(
                store,
                schema,
                fleet,
                control::execute,
                this::executeLater,
                new StoreListener(),
                log,
                new SplittableRandom());
        peers = new PeerConnections(frames, control::execute, new PeerListener(), log);
        itemsExchange = new StoreItemsExchange(peers, follower, this::executeLater);
        quarantineStore = new QuarantineStore(store, schema.systemPrefix(), traffic);
        traffic.setCrashDetector(new CrashDetector(
                traffic,
                new QuarantineController(QUARANTINE_MILLIS, System.currentTimeMillis() - ControlLoop.now(), random),
                news -> control.execute(() -> peers.broadcast(QuarantineCodec.encode(news), ControlLoop.now())),
                quarantineStore::call));
        leavingServers = new LeavingServerPoller(
                traffic,
                new BackendClient(thread, buffers),
                server -> control.execute(() -> serverLeaving(server, "its report")));
        String address = settings.ip() + ":" + settings.peerPort();
        registration = new EntryRegistration(
                store,
                schema.entryPrefix() + settings.node(),
                address.getBytes(StandardCharsets.UTF_8),
                control::execute,
                this::executeLater,
                new SplittableRandom());
        handler = new GatewayHandler(traffic, () -> blackboard.get(DOCUMENT));
        server = new GatewayServer(settings, worker, buffers, handler, this::isReady, metrics);
    }

    /** Starts to accept connections and to follow the store. */
    public void start() {
        server.start();
        peers.listen(new Endpoint(settings.ip(), settings.peerPort()));
        control.start();
        control.execute(() -> {
            follower.start();
            registration.start();
        });
        thread.executeAtInterval(this::sweep, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        log.processEvent(
                "start",
                settings.node() + ", entries on " + settings.peerPort() + ", metrics on " + settings.metricsPort());
    }

    /**
     * Applies the settings that may change while the process runs: the limits on repeated sends and the grace period.
     * All other settings, such as addresses, keep their values.
     *
     * @param changed the new settings, not null
     */
    public void reload(GatewaySettings changed) {
        Arguments.notNull(changed, "changed");
        stopController.setGrace(changed.graceMillis());
        thread.execute(() -> traffic.reload(changed));
        log.processEvent("reload", settings.node());
    }

    /** Reports the process as not ready, ends its registration and lets requests in progress end. */
    public void drain() {
        stopController.stop(ControlLoop.now());
        log.processEvent("stop", "requests in progress: " + traffic.running());
        control.execute(registration::end);
        thread.execute(() -> traffic.relays().forEach(Relay::refuseIfStopping));
        thread.executeAtInterval(this::progressStop, STOP_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns whether the process may end.
     *
     * @return whether it was asked to stop and either has been idle long enough or is about to exceed the grace period
     */
    public boolean isDrained() {
        return stopController.isExitDue(ControlLoop.now());
    }

    /**
     * Decides about the exit on the traffic thread, so that no request is accepted between the decision and the exit.
     */
    private void progressStop() {
        long now = ControlLoop.now();
        if (stopController.isFinalResponseDue(now)) {
            traffic.relays().forEach(Relay::endForExit);
        }
        if (stopController.isReadyToExit(handler.openRequests(), now)) {
            stopController.exit();
        }
    }

    @Override
    public void close() {
        log.processEvent("end", "requests in progress: " + traffic.running());
        server.close();
        control.close();
        peers.close();
        worker.shutdownNow();
    }

    private boolean isReady() {
        return !stopController.isStopping()
                && blackboard.get(DOCUMENT).isPresent()
                && !blackboard
                        .get(FleetSnapshot.KEY)
                        .orElse(FleetSnapshot.EMPTY)
                        .all()
                        .isEmpty();
    }

    /** Handles the era that a result of the store states, on the I/O thread. */
    private void eraSeen(long era) {
        if (era > latestEra) {
            latestEra = era;
            control.execute(() -> follower.eraSeen(era, ControlLoop.now()));
        }
    }

    private void executeLater(long millis, Runnable task) {
        thread.executeAfter(() -> control.execute(task), millis, TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        traffic.client().closeExpiredConnections(ControlLoop.now());
        traffic.placeWaiting();
        traffic.crashDetector().tick(ControlLoop.now());
        handler.closeIdleConnections(ControlLoop.now());
    }

    private void tick() {
        long now = ControlLoop.now();
        fleet.tick(now);
        follower.tick(now);
        follower.setWatching(watches.isWatching(now), now);
        publishFleet();
        updateRoster();
        boolean isStoreSilent = follower.isStoreLost() && now - peerStoreSeenMillis > STORE_SILENCE_MILLIS;
        thread.execute(() -> leavingServers.setActive(isStoreSilent));
        if (now >= nextStatusMillis) {
            thread.execute(this::collectStatus);
        }
    }

    /** Reads load and pace on the traffic thread and sends them from the control thread. */
    private void collectStatus() {
        Map<String, ServerLoad> own = traffic.loads().own();
        Map<String, Double> pace = traffic.pace().all();
        Map<String, Integer> workPercents = traffic.pace().allWorkPercents();
        long queuedTokens = traffic.queuedTokens();
        control.execute(() -> sendStatus(statusLoads.next(own, pace, workPercents), queuedTokens));
    }

    /**
     * Sends no new requests to a server that says itself that it leaves, and informs the other entries.
     *
     * @param source what the server said it in
     */
    private void serverLeaving(FleetServer server, String source) {
        long started = server.registration().startedAtMillis();
        if (!fleet.leaveAnnounced(server.id(), started, ControlLoop.now())) {
            return;
        }
        log.serverEvent(server.id(), "leaving", source, 0);
        publishFleet();
        LeavingMessage.Sign sign =
                new LeavingMessage.Sign(server.id(), started, settings.node(), 0, ++leavingSignSequence);
        peers.broadcast(new LeavingMessage(List.of(sign)), ControlLoop.now());
    }

    /** Divides budgets and rates among the entries that are known now. */
    private void updateRoster() {
        Set<String> others = roster.update(peers.names(), ControlLoop.now());
        if (others.equals(rosterNames)) {
            return;
        }
        rosterNames = others;
        thread.execute(() -> {
            traffic.repeats().setEntries(others.size() + 1);
            traffic.eligibility().setOtherEntries(others);
        });
    }

    private void publishFleet() {
        FleetSnapshot snapshot = fleet.snapshot();
        if (blackboard.get(FleetSnapshot.KEY).orElse(null) != snapshot) {
            blackboard.put(FleetSnapshot.KEY, snapshot);
            thread.execute(traffic::fleetChanged);
        }
    }

    private void sendStatus(List<EntryStatusMessage.BackendLoad> loads, long queuedTokens) {
        long now = ControlLoop.now();
        nextStatusMillis = now + STATUS_INTERVAL_MILLIS + STATUS_INTERVAL_MILLIS_PER_ENTRY * peers.size();
        peers.broadcast(
                new EntryStatusMessage(
                        settings.node(),
                        follower.knownRevision().era(),
                        follower.knownRevision().revision(),
                        follower.documentVersion(),
                        !follower.isStoreLost(),
                        follower.hasWorkingWatch(),
                        queuedTokens,
                        loads),
                now);
    }

    /** Creates store clients. */
    public interface StoreFactory {
        /**
         * Creates a client.
         *
         * @param address the address of the store
         * @param client sends the calls
         * @param thread the I/O thread on which results arrive
         * @return the client, never null
         */
        MetadataStore create(Endpoint address, BackendClient client, XnioIoThread thread);
    }

    private final class StoreListener implements StoreFollower.Listener {
        @Override
        public void documentChanged(RouteDocument document) {
            blackboard.put(DOCUMENT, document);
        }

        @Override
        public void entryChanged(String name, Optional<byte[]> value) {
            if (name.equals(settings.node())) {
                return;
            }
            Optional<Endpoint> address = value.flatMap(v -> Endpoint.parse(new String(v, StandardCharsets.UTF_8)));
            if (address.isPresent()) {
                peers.add(name, address.get());
            } else {
                peers.remove(name);
            }
            updateRoster();
        }

        @Override
        public void changesApplied() {
            publishFleet();
        }

        @Override
        public void eraChanged(long era) {
            metrics.count("store_era_changes");
            registration.eraChanged(era);
            thread.execute(() -> {
                quarantineStore.eraChanged(era);
                traffic.crashDetector().storeRestored(ControlLoop.now());
            });
        }

        @Override
        public void eraListed() {
            thread.execute(Gateway.this::collectStatus);
        }

        @Override
        public void changesWatched(StoreRevision afterRevision, StoreFollower.ChangeBatch batch) {
            if (!itemsExchange.passOn(afterRevision, batch, ControlLoop.now())) {
                // The status tells the others of the revision, and they read the large changes from the store.
                thread.execute(Gateway.this::collectStatus);
            }
        }
    }

    private final class PeerListener implements PeerConnections.Listener {
        @Override
        public void statusReceived(EntryStatusMessage status) {
            long now = ControlLoop.now();
            Map<String, ServerLoad> loads = new HashMap<>();
            for (EntryStatusMessage.BackendLoad load : status.loads()) {
                loads.put(
                        load.server(),
                        new ServerLoad(load.requests(), load.tokens(), load.prefillTokens(), load.usedTokens()));
            }
            thread.execute(() -> {
                traffic.queuedDemand().peerReported(status.node(), status.queuedTokens(), now);
                traffic.peerReported(status.node(), loads, now);
                for (EntryStatusMessage.BackendLoad load : status.loads()) {
                    traffic.pace().peerReported(load.server(), load.eventMicros() / MICROS_PER_MILLI);
                    traffic.pace().workTimeStated(load.server(), load.workPercent());
                }
            });
            StoreRevision revision = new StoreRevision(status.era(), status.revision());
            follower.eraSeen(status.era(), now);
            // An older version states no era; the changes that it passes on cannot be ordered after a restore.
            boolean isWatching = status.isWatching() && (status.era() > 0 || follower.era() == 0);
            watches.statusReceived(status.node(), isWatching, now);
            if (status.isStoreReachable() && isWatching) {
                peerStoreSeenMillis = now;
                follower.peerReachedStore(now);
            }
            itemsExchange.revisionSeen(status.node(), revision);
        }

        @Override
        public void serversLeaving(LeavingMessage message) {
            for (LeavingMessage.Sign sign : message.signs()) {
                if (fleet.leaveAnnounced(sign.node(), sign.incarnation(), ControlLoop.now())) {
                    log.serverEvent(sign.node(), "leaving", sign.issuer(), 0);
                }
            }
            publishFleet();
        }

        @Override
        public void quarantineNewsReceived(QuarantineUpdate news) {
            thread.execute(() -> traffic.crashDetector().receivedNews(news, ControlLoop.now()));
        }

        @Override
        public StoreItemsMessage itemsRequested(StoreItemsRequestMessage request) {
            return itemsExchange.itemsRequested(request);
        }

        @Override
        public void itemsReceived(StoreItemsMessage items) {
            itemsExchange.itemsReceived(items, ControlLoop.now());
        }
    }
}
