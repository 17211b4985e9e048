package io.hornbeamscale.gateway;

import io.hornbeamscale.core.admission.AdmissionQueue;
import io.hornbeamscale.core.admission.AdmissionRequest;
import io.hornbeamscale.core.admission.RepeatDetector;
import io.hornbeamscale.core.blackboard.Blackboard;
import io.hornbeamscale.core.eligibility.ServerEligibility;
import io.hornbeamscale.core.error.BackendResponses;
import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.fleet.FleetSnapshot;
import io.hornbeamscale.core.hedge.HedgeBudget;
import io.hornbeamscale.core.hedge.HedgeCandidates;
import io.hornbeamscale.core.hedge.HedgeDecision;
import io.hornbeamscale.core.limit.ServerRateLimits;
import io.hornbeamscale.core.limit.WindowedRetryBudget;
import io.hornbeamscale.core.placement.CopyLinkSchedule;
import io.hornbeamscale.core.placement.EventIntervalTracker;
import io.hornbeamscale.core.placement.GenerationPlacement;
import io.hornbeamscale.core.placement.HealthTracker;
import io.hornbeamscale.core.placement.LoadTracker;
import io.hornbeamscale.core.placement.PlainPlacement;
import io.hornbeamscale.core.placement.QueuedDemand;
import io.hornbeamscale.core.placement.ServerLoad;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.xnio.XnioIoThread;

/**
 * The state of the traffic thread: requests in progress, the load they put on servers, and what was observed of
 * servers.
 */
final class TrafficState {
    /**
     * How long a status message waits for further placements, in milliseconds; until it arrives, the other entries
     * place requests without knowing of these.
     */
    private static final long STATUS_DELAY_MILLIS = 10;

    /**
     * How long the placement of waiting streams is delayed after a report of another entry or the end of a plain
     * request, in milliseconds. Each of up to 24 entries reports every {@link #STATUS_DELAY_MILLIS} at the most; one
     * attempt serves several reports.
     */
    private static final long PLACEMENT_DELAY_MILLIS = 5;

    /** The pause after which a share of the room at a server is drawn again, in milliseconds. */
    private static final long DRAW_RETRY_MILLIS = 55;

    private final XnioIoThread thread;
    private final Blackboard blackboard;
    private final ExchangeCodec codec;
    private final BackendClient client;
    private final GatewayMetrics metrics;
    private final DecisionLog log;
    private final RandomGenerator random;
    private final GatewaySettings settings;
    private final StopController stop;
    private final ResponseMemory responses =
            new ResponseMemory(Runtime.getRuntime().maxMemory());
    private final LoadTracker loads = new LoadTracker();
    private final HealthTracker health = new HealthTracker();
    private final EventIntervalTracker pace = new EventIntervalTracker();
    private final CopyLinkSchedule copyLinks = new CopyLinkSchedule();
    private final ServerRateLimits limits;
    private final ServerEligibility eligibility;
    private final GenerationPlacement generationPlacement;
    private final PlainPlacement plainPlacement;
    private final WindowedRetryBudget repeats;
    private final HedgeDecision hedging;
    private final HedgeCandidates hedgeCandidates;
    private final Set<Relay> running = new LinkedHashSet<>();
    private final AdmissionQueue<StreamRelay> waitingStreams;
    private final RepeatDetector repeatDetector = new RepeatDetector();
    private final QueuedDemand queuedDemand = new QueuedDemand();
    private final Map<String, Endpoint> knownAddresses = new HashMap<>();
    private CrashDetector crashDetector;
    private Runnable statusSender = () -> {};
    private Consumer<FleetServer> leavingListener = server -> {};
    private boolean isStatusDue;
    private boolean isPlacementScheduled;
    private boolean isDrawScheduled;
    private boolean isPlacementDue;

    TrafficState(
            XnioIoThread thread,
            Blackboard blackboard,
            ExchangeCodec codec,
            BackendClient client,
            GatewaySettings settings,
            StopController stop,
            GatewayMetrics metrics,
            DecisionLog log,
            RandomGenerator random) {
        this.thread = thread;
        this.blackboard = blackboard;
        this.codec = codec;
        this.client = client;
        this.settings = settings;
        this.stop = stop;
        this.metrics = metrics;
        this.log = log;
        this.random = random;
        waitingStreams = new AdmissionQueue<>(metrics::admission);
        limits = new ServerRateLimits(settings.node());
        eligibility =
                new ServerEligibility(settings.node(), health, limits, settings.regions(), this::coldRequestsPerSecond);
        metrics.exportEligibility(eligibility);
        generationPlacement = new GenerationPlacement(
                loads, health, pace, copyLinks, eligibility, settings.zone(), settings.regions());
        plainPlacement = new PlainPlacement(loads, health, eligibility, settings.zone(), settings.regions());
        repeats =
                new WindowedRetryBudget(settings.repeatRatio(), settings.repeatWindowMillis(), settings.repeatSlack());
        hedging = new HedgeDecision(new HedgeBudget(repeats, settings.hedging(), settings.repeatWindowMillis()));
        hedgeCandidates = new HedgeCandidates(eligibility, limits, plainPlacement, loads);
    }

    XnioIoThread thread() {
        return thread;
    }

    ExchangeCodec codec() {
        return codec;
    }

    BackendClient client() {
        return client;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    DecisionLog log() {
        return log;
    }

    RandomGenerator random() {
        return random;
    }

    GatewaySettings settings() {
        return settings;
    }

    StopController stop() {
        return stop;
    }

    /** Returns what is held of the incomplete responses of servers. */
    ResponseMemory responses() {
        return responses;
    }

    LoadTracker loads() {
        return loads;
    }

    HealthTracker health() {
        return health;
    }

    EventIntervalTracker pace() {
        return pace;
    }

    CopyLinkSchedule copyLinks() {
        return copyLinks;
    }

    ServerRateLimits limits() {
        return limits;
    }

    ServerEligibility eligibility() {
        return eligibility;
    }

    /** Handles what the head of a server's response to a request says about the server. */
    void responded(FleetServer server, int status, BackendResponseHead head, long sentAtMillis, long nowMillis) {
        boolean isSuccess = BackendResponses.isSuccess(status) && head.hasSignature() && !head.statesNotRun();
        boolean isLimitChanged = limits.responded(server.id(), head.requestLimit(), isSuccess, sentAtMillis, nowMillis);
        if (isLimitChanged) {
            log.limitChanged(server.id(), head.requestLimit(), limits.requestsPerSecond(server.id()));
        }
        if (head.isLeaving() && eligibility.leavingAnnounced(server)) {
            metrics.count("leaving_announced");
            log.serverEvent(server.id(), "leaving", "its response", 0);
            leavingListener.accept(server);
            thread.execute(this::fleetChanged);
        }
        boolean isPaused = head.pauseMillis().isPresent()
                && eligibility.pauseRequested(server, head.pauseMillis().getAsDouble(), nowMillis);
        if (isPaused) {
            metrics.count("pauses");
            log.serverPaused(server.id(), head.pauseMillis().getAsDouble());
        }
        pace.workTimeStated(server.id(), head.workPercent());
        head.coldMillis().ifPresent(millis -> eligibility.coldReported(server, millis, nowMillis));
        if (!head.malformed().isEmpty()) {
            log.malformedHeader(server.id(), head.malformed());
        }
        if (isLimitChanged || isPaused) {
            placeWaitingSoon(0);
        }
    }

    /** Sets the recipient of servers that announce in a response that they leave. */
    void setLeavingListener(Consumer<FleetServer> listener) {
        leavingListener = listener;
    }

    private double coldRequestsPerSecond(String service) {
        return blackboard
                .get(Gateway.DOCUMENT)
                .flatMap(document -> document.service(service))
                .map(s -> settings.coldLimits().sendRate(s.coldRequestsPerSecond()))
                .orElse(0.0);
    }

    GenerationPlacement generationPlacement() {
        return generationPlacement;
    }

    PlainPlacement plainPlacement() {
        return plainPlacement;
    }

    WindowedRetryBudget repeats() {
        return repeats;
    }

    HedgeDecision hedging() {
        return hedging;
    }

    HedgeCandidates hedgeCandidates() {
        return hedgeCandidates;
    }

    /** Replaces the limits of repeated sends and hedges. */
    void reload(GatewaySettings changed) {
        repeats.setLimits(changed.repeatRatio(), changed.repeatWindowMillis(), changed.repeatSlack());
        hedging.setLimits(changed.hedging(), changed.repeatWindowMillis());
    }

    FleetSnapshot fleet() {
        return blackboard.get(FleetSnapshot.KEY).orElse(FleetSnapshot.EMPTY);
    }

    Optional<FleetServer> server(String id) {
        return fleet().server(id);
    }

    void relayStarted(Relay relay) {
        running.add(relay);
    }

    void relayEnded(Relay relay) {
        running.remove(relay);
        if (relay instanceof StreamRelay stream) {
            waitingStreams.ended(stream, ControlLoop.now());
            placeWaitingSoon(0);
        } else {
            // Plain requests end often and seldom make room at an engine.
            placeWaitingSoon(PLACEMENT_DELAY_MILLIS);
        }
    }

    /** Returns the number of requests without a complete response. */
    int running() {
        return running.size();
    }

    /** Returns a copy of the requests in progress. */
    List<Relay> relays() {
        return List.copyOf(running);
    }

    /** Adds the load of a request that is sent to a server, and schedules a status message to the other entries. */
    void placed(String server, ServerLoad load) {
        loads.add(server, load);
        scheduleStatus();
    }

    QueuedDemand queuedDemand() {
        return queuedDemand;
    }

    /** Returns the prompt tokens of the streams that wait at this entry. */
    long queuedTokens() {
        return waitingStreams.promptTokens();
    }

    /** Schedules a status message to the other entries. */
    void scheduleStatus() {
        if (!isStatusDue) {
            isStatusDue = true;
            thread.executeAfter(this::sendStatus, STATUS_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    CrashDetector crashDetector() {
        return crashDetector;
    }

    void setCrashDetector(CrashDetector detector) {
        crashDetector = detector;
    }

    /** Sets the task that sends the load to the other entries. */
    void setStatusSender(Runnable task) {
        statusSender = task;
    }

    private void sendStatus() {
        isStatusDue = false;
        statusSender.run();
    }

    /** Returns the number of streams of this entry that each server runs, by server id. */
    Map<String, Long> streamsByServer() {
        return running.stream()
                .filter(StreamRelay.class::isInstance)
                .map(relay -> ((StreamRelay) relay).serverId())
                .flatMap(Optional::stream)
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    }

    /** Returns the streams that wait for a server with free capacity. */
    AdmissionQueue<StreamRelay> waitingStreams() {
        return waitingStreams;
    }

    RepeatDetector repeatDetector() {
        return repeatDetector;
    }

    /** Counts a stream that is about to be sent to a server that has room for it. */
    void admitted(StreamRelay stream, AdmissionRequest request, long nowMillis) {
        waitingStreams.placed(stream, request, nowMillis);
        metrics.admitted(nowMillis - request.arrivedAtMillis());
    }

    /** Handles the load that another entry has placed. Waiting streams are tried if it has become less somewhere. */
    void peerReported(String peer, Map<String, ServerLoad> reported, long nowMillis) {
        if (loads.peerReported(peer, reported, nowMillis)) {
            placeWaitingSoon(PLACEMENT_DELAY_MILLIS);
        }
    }

    /** Schedules one attempt to place the waiting streams, if there are any and none is scheduled yet. */
    private void placeWaitingSoon(long delayMillis) {
        if (waitingStreams.isEmpty() || (isPlacementDue && delayMillis > 0)) {
            return;
        }
        isPlacementDue = true;
        Runnable task = () -> {
            isPlacementDue = false;
            placeWaiting();
        };
        if (delayMillis == 0) {
            thread.execute(task);
        } else {
            thread.executeAfter(task, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Tries to place the waiting streams, in their order, and refuses those that cannot be placed in time. */
    void placeWaiting() {
        if (waitingStreams.isEmpty()) {
            return;
        }
        waitingStreams.place(StreamRelay::tryPlaceQueued, ControlLoop.now());
        waitingStreams
                .refusals(random, ControlLoop.now())
                .forEach(refusal -> refusal.item().refuse(refusal.retryAfterMillis(), "no server had room in time"));
        placeWaitingAfterLimits();
    }

    /** Schedules the placement of waiting streams for when a share of the room at a server is drawn again. */
    void placeWaitingAfterDraw() {
        if (!isDrawScheduled) {
            isDrawScheduled = true;
            thread.executeAfter(
                    () -> {
                        isDrawScheduled = false;
                        placeWaiting();
                    },
                    DRAW_RETRY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private OptionalLong nextPlacementMillis(long nowMillis) {
        return waitingStreams.inOrder(nowMillis).stream()
                .map(stream -> stream.candidates().earliestWaitMillis(nowMillis))
                .flatMapToLong(OptionalLong::stream)
                .min();
    }

    /** Schedules the placement of waiting streams for when a server that may get none now may get one. */
    void placeWaitingAfterLimits() {
        if (waitingStreams.isEmpty() || isPlacementScheduled) {
            return;
        }
        nextPlacementMillis(ControlLoop.now()).ifPresent(wait -> {
            isPlacementScheduled = true;
            thread.executeAfter(
                    () -> {
                        isPlacementScheduled = false;
                        placeWaiting();
                    },
                    wait,
                    TimeUnit.MILLISECONDS);
        });
    }

    /**
     * Handles a new fleet snapshot: closes idle connections to servers that are leaving, drops the state of servers
     * that are gone, moves streams off leaving servers and places waiting streams.
     */
    void fleetChanged() {
        FleetSnapshot fleet = fleet();
        eligibility.setEvacuatedZones(fleet.evacuatedZones());
        for (FleetServer server : fleet.all()) {
            Endpoint before =
                    knownAddresses.put(server.id(), server.registration().address());
            if (before != null && !before.equals(server.registration().address())) {
                client.closeIdleConnections(before);
                health.forget(server.id());
            }
            if (eligibility.isLeaving(server)) {
                client.closeIdleConnections(server.registration().address());
            }
        }
        knownAddresses.keySet().removeIf(id -> {
            boolean isGone = fleet.server(id).isEmpty();
            if (isGone) {
                health.forget(id);
                pace.forget(id);
                copyLinks.forget(id);
                eligibility.forget(id);
                queuedDemand.forget(id);
            }
            return isGone;
        });
        for (Relay relay : List.copyOf(running)) {
            relay.fleetChanged();
        }
        placeWaiting();
    }
}
