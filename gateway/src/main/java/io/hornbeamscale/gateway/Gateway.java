package io.hornbeamscale.gateway;

import io.hornbeamscale.core.blackboard.Blackboard;
import io.hornbeamscale.core.blackboard.BlackboardKey;
import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetController;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.fleet.FleetSnapshot;
import io.hornbeamscale.core.placement.ServerLoad;
import io.hornbeamscale.core.quarantine.QuarantineController;
import io.hornbeamscale.core.quarantine.QuarantineUpdate;
import io.hornbeamscale.core.route.RouteDocument;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.wire.FrameLoop;
import io.hornbeamscale.wire.QuarantineCodec;
import io.hornbeamscale.wire.message.EntryStatusMessage;
import io.hornbeamscale.wire.message.LeavingMessage;
import io.hornbeamscale.wire.message.StoreItemsMessage;
import io.hornbeamscale.wire.message.StoreItemsRequestMessage;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * An entry that sends requests straight to backend servers. One I/O thread carries all traffic and owns what is placed
 * where; the control thread owns the document and the fleet and puts them on the blackboard.
 */
public final class Gateway implements AutoCloseable {
    /** Where the document in force stands on the blackboard. */
    static final BlackboardKey<RouteDocument> DOCUMENT = new BlackboardKey<>("document", RouteDocument.class);

    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int POOLED_BUFFERS = 200;
    private static final int THREAD_CACHE = 8;

    /** The pause between two rounds of the control thread, in milliseconds; each wakes the processor. */
    private static final long TICK_MILLIS = 50;

    /** The pause between two news to other entries, in milliseconds, and its part for each entry that gets them. */
    private static final long NEWS_MILLIS = 200;

    private static final long NEWS_MILLIS_PER_ENTRY = 10;

    /** How long the store may be later than another entry before that entry is asked, in milliseconds. */
    private static final long BEHIND_MILLIS = 100;

    /** How long a request that crashed servers is refused, in milliseconds. */
    private static final long QUARANTINE_MILLIS = 600_000;

    /** How long nobody may hear from the store before servers are asked themselves, in milliseconds. */
    private static final long STORE_SILENT_MILLIS = 400;

    private static final long SWEEP_MILLIS = 1_000;
    private static final double MICROS_PER_MILLI = 1_000;

    private final GatewaySettings settings;
    private final Blackboard blackboard = new Blackboard();
    private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES, POOLED_BUFFERS, THREAD_CACHE);
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final DecisionLog log = new DecisionLog();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final FleetController fleet = new FleetController();
    private final FrameLoop frames = new FrameLoop("entries");
    private final Traffic traffic;
    private final ReportWatch reports;
    private final ControlLoop control;
    private final StoreFollower follower;
    private final PeerLinks peers;
    private final EntryRegistration registration;
    private final StopController stops;
    private final GatewayHandler handler;
    private final GatewayServer server;
    private long nextNewsMillis;
    private long behindSinceMillis;
    private long storeHeardMillis;
    private long leavingSigns;

    /**
     * Creates an entry that is not started.
     *
     * @param settings the settings, not null
     * @param codec translates requests and responses, not null
     * @param schema names and decodes the store's items, not null
     * @param stores creates the client of the store, not null
     * @param random the source of jitter, not null
     */
    public Gateway(
            GatewaySettings settings,
            ExchangeCodec codec,
            StoreSchema schema,
            StoreFactory stores,
            RandomGenerator random) {
        this.settings = Arguments.notNull(settings, "settings");
        this.worker = worker();
        this.thread = worker.getIoThread(0);
        BackendClient client = new BackendClient(thread, buffers);
        traffic = new Traffic(thread, blackboard, codec, client, settings, metrics, log, random);
        traffic.setNews(this::collectNews);
        control = new ControlLoop("gateway", TICK_MILLIS, this::tick);
        MetadataStore store = stores.create(settings.storeAddress(), new BackendClient(thread, buffers), thread);
        follower = new StoreFollower(store, schema, fleet, control::execute, this::later, new Follows(), log);
        peers = new PeerLinks(frames, control::execute, new Peers(), log);
        traffic.setCrashes(new CrashWatch(
                traffic,
                new QuarantineController(QUARANTINE_MILLIS, System.currentTimeMillis() - ControlLoop.now(), random),
                news -> control.execute(() -> peers.broadcast(QuarantineCodec.encode(news), ControlLoop.now())),
                new QuarantineStore(store, schema.ownPrefix(), traffic)::call));
        reports = new ReportWatch(traffic, server -> control.execute(() -> saidToLeave(server)));
        String address = settings.ip() + ":" + settings.peerPort();
        registration = new EntryRegistration(
                store,
                schema.entryPrefix() + settings.node(),
                address.getBytes(StandardCharsets.UTF_8),
                control::execute,
                this::later);
        stops = new StopController(settings.graceMillis());
        handler = new GatewayHandler(traffic, () -> blackboard.get(DOCUMENT), stops);
        server = new GatewayServer(settings, worker, buffers, handler, this::isReady, metrics);
    }

    /** Starts to listen and to follow the store. */
    public void start() {
        server.start();
        peers.listen(new Endpoint(settings.ip(), settings.peerPort()));
        control.start();
        control.execute(() -> {
            follower.start();
            registration.start();
        });
        thread.executeAtInterval(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        log.processEvent(
                "start",
                settings.node() + ", entries on " + settings.peerPort() + ", metrics on " + settings.metricsPort());
    }

    /**
     * Takes the settings over that may change while the process runs: the limits on repeats and the time to stop.
     * Addresses stay as they were.
     *
     * @param changed the new settings, not null
     */
    public void reload(GatewaySettings changed) {
        Arguments.notNull(changed, "changed");
        stops.setGrace(changed.graceMillis());
        thread.execute(() -> traffic.repeats()
                .setLimits(changed.repeatRatio(), changed.repeatWindowMillis(), changed.repeatSlack()));
        log.processEvent("reload", settings.node());
    }

    /**
     * Stops to be ready and lets running requests end.
     */
    public void drain() {
        stops.stop(ControlLoop.now());
        log.processEvent("stop", "requests in progress: " + traffic.running());
        control.execute(registration::end);
    }

    /**
     * Returns whether the process may end.
     *
     * @return whether it was asked to stop and no request is in progress, or the time to end is up
     */
    public boolean isDrained() {
        return stops.isOver(traffic.running(), ControlLoop.now());
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
        return !stops.isStopping()
                && blackboard.get(DOCUMENT).isPresent()
                && !blackboard
                        .get(FleetSnapshot.KEY)
                        .orElse(FleetSnapshot.EMPTY)
                        .all()
                        .isEmpty();
    }

    private void later(long millis, Runnable task) {
        thread.executeAfter(() -> control.execute(task), millis, TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        traffic.client().sweep(ControlLoop.now());
        traffic.placeWaiting();
        traffic.crashes().tick(ControlLoop.now());
        handler.sweep(ControlLoop.now());
    }

    private void tick() {
        long now = ControlLoop.now();
        fleet.tick(now);
        follower.tick(now);
        publishFleet();
        boolean isStoreSilent = follower.isAway() && now - storeHeardMillis > STORE_SILENT_MILLIS;
        thread.execute(() -> reports.setActive(isStoreSilent));
        if (now >= nextNewsMillis) {
            thread.execute(this::collectNews);
        }
    }

    /** Reads the load on the traffic thread and sends it from the control thread. */
    private void collectNews() {
        Map<String, ServerLoad> loads = traffic.loads().own();
        Map<String, Double> pace = traffic.pace().all();
        control.execute(() -> sendNews(loads, pace));
    }

    /** Stops requests to a server that says itself that it leaves, and tells the other entries. */
    private void saidToLeave(FleetServer server) {
        long started = server.registration().startedAtMillis();
        if (!fleet.leaveAnnounced(server.id(), started, ControlLoop.now())) {
            return;
        }
        log.serverEvent(server.id(), "leaving", "its report", 0);
        publishFleet();
        LeavingMessage.Sign sign = new LeavingMessage.Sign(server.id(), started, settings.node(), 0, ++leavingSigns);
        peers.broadcast(new LeavingMessage(List.of(sign)), ControlLoop.now());
    }

    private void publishFleet() {
        FleetSnapshot snapshot = fleet.snapshot();
        if (blackboard.get(FleetSnapshot.KEY).orElse(null) != snapshot) {
            blackboard.put(FleetSnapshot.KEY, snapshot);
            thread.execute(traffic::fleetChanged);
        }
    }

    private void sendNews(Map<String, ServerLoad> own, Map<String, Double> pace) {
        long now = ControlLoop.now();
        nextNewsMillis = now + NEWS_MILLIS + NEWS_MILLIS_PER_ENTRY * peers.size();
        Set<String> servers = new TreeSet<>(own.keySet());
        servers.addAll(pace.keySet());
        List<EntryStatusMessage.BackendLoad> loads = new ArrayList<>();
        for (String id : servers) {
            ServerLoad load = own.getOrDefault(id, ServerLoad.NONE);
            loads.add(new EntryStatusMessage.BackendLoad(
                    id,
                    load.requests(),
                    load.tokens(),
                    load.prefillTokens(),
                    Math.round(pace.getOrDefault(id, 0.0) * MICROS_PER_MILLI)));
        }
        peers.broadcast(
                new EntryStatusMessage(
                        settings.node(),
                        follower.knownRevision(),
                        follower.documentVersion(),
                        !follower.isAway(),
                        loads),
                now);
    }

    private static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.duplicate().get(bytes);
        return bytes;
    }

    private static XnioWorker worker() {
        try {
            return Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_NAME, "traffic")
                            .set(Options.WORKER_IO_THREADS, 1)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.REUSE_ADDRESSES, true)
                            .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException("the I/O thread did not start", e);
        }
    }

    /** Creates the client of the store. */
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

    private final class Follows implements StoreFollower.Listener {
        @Override
        public void document(RouteDocument document) {
            blackboard.put(DOCUMENT, document);
        }

        @Override
        public void entry(String name, Optional<byte[]> value) {
            if (name.equals(settings.node())) {
                return;
            }
            Optional<Endpoint> address = value.flatMap(v -> Endpoint.parse(new String(v, StandardCharsets.UTF_8)));
            if (address.isPresent()) {
                peers.add(name, address.get());
            } else {
                peers.remove(name);
            }
            int entries = peers.size() + 1;
            thread.execute(() -> traffic.repeats().setEntries(entries));
        }

        @Override
        public void changed() {
            publishFleet();
        }
    }

    private final class Peers implements PeerLinks.Listener {
        @Override
        public void news(EntryStatusMessage news) {
            long now = ControlLoop.now();
            Map<String, ServerLoad> loads = new HashMap<>();
            for (EntryStatusMessage.BackendLoad load : news.loads()) {
                loads.put(load.server(), new ServerLoad(load.requests(), load.tokens(), load.prefillTokens()));
            }
            thread.execute(() -> {
                traffic.loads().peerReported(news.node(), loads, now);
                traffic.placeWaiting();
                news.loads().forEach(l -> traffic.pace().peerReported(l.server(), l.eventMicros() / MICROS_PER_MILLI));
            });
            if (news.hasStore()) {
                storeHeardMillis = now;
            }
            if (news.revision() <= follower.knownRevision()) {
                return;
            }
            if (behindSinceMillis == 0) {
                behindSinceMillis = now;
                later(BEHIND_MILLIS, () -> {
                    behindSinceMillis = 0;
                    if (news.revision() > follower.knownRevision()) {
                        peers.send(
                                news.node(), new StoreItemsRequestMessage(follower.knownRevision()), ControlLoop.now());
                    }
                });
            }
        }

        @Override
        public void leaving(LeavingMessage signs) {
            for (LeavingMessage.Sign sign : signs.signs()) {
                if (fleet.leaveAnnounced(sign.node(), sign.incarnation(), ControlLoop.now())) {
                    log.serverEvent(sign.node(), "leaving", sign.issuer(), 0);
                }
            }
            publishFleet();
        }

        @Override
        public void crashes(QuarantineUpdate news) {
            thread.execute(() -> traffic.crashes().told(news, ControlLoop.now()));
        }

        @Override
        public StoreItemsMessage wanted(StoreItemsRequestMessage wanted) {
            StoreFollower.Passed passed = follower.changesAfter(wanted.afterRevision());
            List<StoreItemsMessage.Item> items = passed.items().stream()
                    .map(i -> new StoreItemsMessage.Item(
                            i.key(), i.revision(), i.isRemoved() ? null : ByteBuffer.wrap(i.value())))
                    .toList();
            return new StoreItemsMessage(passed.revision(), items);
        }

        @Override
        public void items(StoreItemsMessage items) {
            List<StoreItem> passed = items.items().stream()
                    .map(i -> i.value() == null
                            ? StoreItem.removed(i.key(), i.revision())
                            : StoreItem.present(i.key(), i.revision(), bytes(i.value())))
                    .toList();
            follower.passedOn(passed, items.revision(), ControlLoop.now());
        }
    }
}
