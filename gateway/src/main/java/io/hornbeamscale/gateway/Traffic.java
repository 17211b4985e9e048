package io.hornbeamscale.gateway;

import io.hornbeamscale.core.blackboard.Blackboard;
import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.fleet.FleetSnapshot;
import io.hornbeamscale.core.limit.WindowedRetryBudget;
import io.hornbeamscale.core.placement.CopyLinkSchedule;
import io.hornbeamscale.core.placement.EventIntervalTracker;
import io.hornbeamscale.core.placement.GenerationPlacement;
import io.hornbeamscale.core.placement.HealthTracker;
import io.hornbeamscale.core.placement.LoadTracker;
import io.hornbeamscale.core.placement.PlacementQueue;
import io.hornbeamscale.core.placement.PlainPlacement;
import io.hornbeamscale.core.placement.ServerLoad;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.xnio.XnioIoThread;

/** The state of the traffic thread: running requests, the load they put on servers, and what was learned of servers. */
final class Traffic {
    /**
     * How long news of a placed request waits for more, in milliseconds; other entries place within this time
     * blindly.
     */
    private static final long NEWS_DELAY_MILLIS = 10;

    private final XnioIoThread thread;
    private final Blackboard blackboard;
    private final ExchangeCodec codec;
    private final BackendClient client;
    private final GatewayMetrics metrics;
    private final DecisionLog log;
    private final RandomGenerator random;
    private final GatewaySettings settings;
    private final LoadTracker loads = new LoadTracker();
    private final HealthTracker health = new HealthTracker();
    private final EventIntervalTracker pace = new EventIntervalTracker();
    private final CopyLinkSchedule links = new CopyLinkSchedule();
    private final GenerationPlacement generations;
    private final PlainPlacement plain;
    private final WindowedRetryBudget repeats;
    private final Set<Relay> running = new LinkedHashSet<>();
    private final PlacementQueue<StreamRelay> waiting = new PlacementQueue<>();
    private final Map<String, Endpoint> known = new HashMap<>();
    private CrashWatch crashes;
    private Runnable news = () -> {};
    private boolean isNewsDue;

    Traffic(
            XnioIoThread thread,
            Blackboard blackboard,
            ExchangeCodec codec,
            BackendClient client,
            GatewaySettings settings,
            GatewayMetrics metrics,
            DecisionLog log,
            RandomGenerator random) {
        this.thread = thread;
        this.blackboard = blackboard;
        this.codec = codec;
        this.client = client;
        this.settings = settings;
        this.metrics = metrics;
        this.log = log;
        this.random = random;
        generations = new GenerationPlacement(loads, health, pace, links, settings.zone(), settings.regions());
        plain = new PlainPlacement(loads, health, settings.zone(), settings.regions());
        repeats =
                new WindowedRetryBudget(settings.repeatRatio(), settings.repeatWindowMillis(), settings.repeatSlack());
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

    LoadTracker loads() {
        return loads;
    }

    HealthTracker health() {
        return health;
    }

    EventIntervalTracker pace() {
        return pace;
    }

    CopyLinkSchedule links() {
        return links;
    }

    GenerationPlacement generations() {
        return generations;
    }

    PlainPlacement plain() {
        return plain;
    }

    WindowedRetryBudget repeats() {
        return repeats;
    }

    FleetSnapshot fleet() {
        return blackboard.get(FleetSnapshot.KEY).orElse(FleetSnapshot.EMPTY);
    }

    Optional<FleetServer> server(String id) {
        return fleet().server(id);
    }

    void started(Relay relay) {
        running.add(relay);
    }

    void ended(Relay relay) {
        running.remove(relay);
        if (relay instanceof StreamRelay stream) {
            waiting.remove(stream);
        }
        thread.execute(this::placeWaiting);
    }

    /** Returns the number of requests that have no complete response yet. */
    int running() {
        return running.size();
    }

    /** Returns the running requests, a copy. */
    List<Relay> relays() {
        return List.copyOf(running);
    }

    /** Counts a request that goes to a server, and tells the other entries soon. */
    void placed(String server, ServerLoad load) {
        loads.add(server, load);
        if (!isNewsDue) {
            isNewsDue = true;
            thread.executeAfter(this::sendNews, NEWS_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    CrashWatch crashes() {
        return crashes;
    }

    void setCrashes(CrashWatch watch) {
        crashes = watch;
    }

    /** Sets what tells the other entries of the load. */
    void setNews(Runnable task) {
        news = task;
    }

    private void sendNews() {
        isNewsDue = false;
        news.run();
    }

    /** Returns how many streams of this entry each server runs. */
    Map<String, Long> streamsByServer() {
        return running.stream()
                .filter(StreamRelay.class::isInstance)
                .map(relay -> ((StreamRelay) relay).serverId())
                .flatMap(Optional::stream)
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    }

    /** Returns the streams that wait until a server has room. */
    PlacementQueue<StreamRelay> waiting() {
        return waiting;
    }

    /** Offers room to the streams that wait, in their order. */
    void placeWaiting() {
        for (StreamRelay stream : waiting.inOrder()) {
            if (stream.tryPlace()) {
                waiting.remove(stream);
            }
        }
    }

    /** Handles a new view of the fleet: leaving servers lose their idle connections and their streams move. */
    void fleetChanged() {
        FleetSnapshot fleet = fleet();
        for (FleetServer server : fleet.all()) {
            Endpoint before = known.put(server.id(), server.registration().address());
            if (before != null && !before.equals(server.registration().address())) {
                client.forget(before);
                health.forget(server.id());
            }
            if (!server.isReady()) {
                client.forget(server.registration().address());
            }
        }
        known.keySet().removeIf(id -> {
            boolean isGone = fleet.server(id).isEmpty();
            if (isGone) {
                health.forget(id);
                pace.forget(id);
                links.forget(id);
            }
            return isGone;
        });
        for (Relay relay : List.copyOf(running)) {
            relay.fleetChanged();
        }
        placeWaiting();
    }
}
