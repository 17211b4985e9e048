package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.route.EngineSpec;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Chooses a backend server for a generation, for the load of many long responses whose memory grows while they run.
 * The memory that all requests of a server will need at their end must fit, since an engine that runs out of memory
 * interrupts a running response. Among the servers with room, the one wins on which the first token comes soonest and
 * the other responses are slowed least; near servers are preferred as long as they are not more than a few requests
 * busier. Long responses keep away from slow servers, which stretch the pauses between tokens; short ones go there.
 */
public final class GenerationPlacement {
    /**
     * What placed requests may need at their end, as a share of an engine's memory. They end one after the other, so
     * that the sum is not in use at one moment; at 1.6, engines began to interrupt running responses.
     */
    static final double MAX_MEMORY_SHARE = 1.2;

    /** The share of an engine's memory up to which copies of other servers' generations are placed. */
    static final double MAX_BACKUP_MEMORY_SHARE = 0.4;

    /** The expected length from which a response counts as long, in tokens. */
    private static final long LONG_RESPONSE_TOKENS = 100;

    /** The cost of an engine's full memory for a copy, in milliseconds; it spreads copies over the servers. */
    private static final double BACKUP_MEMORY_COST_MILLIS = 100;

    /** The cost of a target that lacks as much memory as an engine has, in milliseconds. */
    private static final double OVERFLOW_COST_MILLIS = 2_000;

    /** How much more the prompts that wait at a target cost a running stream, whose pause must stay short. */
    private static final double MOVE_PREFILL_FACTOR = 2;

    /** The share of a leaving server's requests whose copies wait behind this one on the server's link. */
    private static final double QUEUED_COPY_SHARE = 0.5;

    /**
     * The prompt tokens that may wait at a server when another request is placed there; two prompts or so. More of them
     * wait at the entry, for whichever server is free first.
     */
    private static final long MAX_PREFILL_TOKENS = 6_000;

    /** The cost of one request that runs or waits, in milliseconds until the first token. */
    private static final double REQUEST_COST_MILLIS = 25;

    /** The prompt tokens that an engine reads in a millisecond beside running responses. */
    private static final double PREFILL_TOKENS_PER_MILLI = 7;

    /** The cost of another zone and of another region, in milliseconds; it stands for delay and paid bytes. */
    private static final double OTHER_ZONE_COST_MILLIS = 30;

    private static final double OTHER_REGION_COST_MILLIS = 130;

    /** The cost of a server that fails every request, in milliseconds. */
    private static final double FAILURE_COST_MILLIS = 1_500;

    /**
     * The cost of a server that is still slow after its start, in milliseconds; others are taken while they have
     * room.
     */
    private static final double SLOW_START_COST_MILLIS = 2_000;

    /**
     * The cost of a server that is twice as slow as the fastest, in milliseconds, for a long response. A server that is
     * 1.3 times as slow then costs as much as a full queue of prompts elsewhere.
     */
    private static final double LONG_SLOWDOWN_COST_MILLIS = 3_000;

    /** The same for a short response, which has few pauses. */
    private static final double SHORT_SLOWDOWN_COST_MILLIS = 150;

    /** The range of the random cost that keeps several entries from choosing the same server, in milliseconds. */
    private static final double MAX_JITTER_MILLIS = 12;

    private final LoadTracker loads;
    private final HealthTracker health;
    private final EventIntervalTracker intervals;
    private final CopyLinkSchedule links;
    private final String zone;
    private final Map<String, String> regions;

    /**
     * Creates a placement.
     *
     * @param loads the load of the servers, not null
     * @param health how well servers answered, not null
     * @param pace how fast servers are, not null
     * @param links how busy the links between servers are, not null
     * @param zone the zone of this entry, not null
     * @param regions the region of each zone, not null
     */
    public GenerationPlacement(
            LoadTracker loads,
            HealthTracker health,
            EventIntervalTracker pace,
            CopyLinkSchedule links,
            String zone,
            Map<String, String> regions) {
        this.loads = loads;
        this.health = health;
        this.intervals = pace;
        this.links = links;
        this.zone = zone;
        this.regions = Map.copyOf(regions);
    }

    /**
     * Chooses a server.
     *
     * @param servers the servers that take requests, not null
     * @param engine the engine, not null
     * @param size the size of the generation, not null
     * @param excluded servers that must not be chosen, not null
     * @param nowMillis the present time
     * @param random the source of jitter, not null
     * @return the server, empty if none has room now
     */
    public Optional<FleetServer> choose(
            Collection<FleetServer> servers,
            EngineSpec engine,
            GenerationSize size,
            Set<String> excluded,
            long nowMillis,
            RandomGenerator random) {
        return cheapest(servers, excluded, nowMillis, random, server -> {
            ServerLoad load = loads.of(server.id(), nowMillis);
            return hasRoom(load, engine, size)
                    ? cost(server, load, zone) + slowdownCost(server, servers, size)
                    : Double.POSITIVE_INFINITY;
        });
    }

    /**
     * Chooses the server to which the state of a running generation is copied.
     *
     * @param servers the servers that take requests, not null
     * @param engine the engine, not null
     * @param size the size of the generation, not null
     * @param source the server on which it runs, not null
     * @param excluded servers that must not be chosen, not null
     * @param nowMillis the present time
     * @param random the source of jitter, not null
     * @return the server, near the source if possible, empty if none has room now
     */
    public Optional<FleetServer> chooseDestination(
            Collection<FleetServer> servers,
            EngineSpec engine,
            GenerationSize size,
            FleetServer source,
            Set<String> excluded,
            long nowMillis,
            RandomGenerator random) {
        double behind = loads.of(source.id(), nowMillis).requests() * QUEUED_COPY_SHARE;
        return cheapest(servers, excluded, nowMillis, random, server -> {
            ServerLoad load = loads.of(server.id(), nowMillis);
            return load.requests() < engine.slots() && isSameRegion(server, source)
                    ? cost(server, load, source.registration().zone())
                            + slowdownCost(server, servers, size)
                            + copyCost(server, source, engine, size, nowMillis)
                            + behind * copyMillis(server, source, engine, size)
                            + overflowCost(load, engine, size)
                            + MOVE_PREFILL_FACTOR * load.prefillTokens() / PREFILL_TOKENS_PER_MILLI
                    : Double.POSITIVE_INFINITY;
        });
    }

    /**
     * Chooses the server that gets a copy of a generation's state while it runs. Copies take memory that requests could
     * use, so a server is only chosen while much of its memory is free.
     *
     * @param servers the servers that take requests, not null
     * @param engine the engine, not null
     * @param size the size of the generation, not null
     * @param runsOn the server that runs the generation, not null
     * @param nowMillis the present time
     * @param random the source of jitter, not null
     * @return the server, near the one that runs the generation if possible, empty if none has enough room
     */
    public Optional<FleetServer> chooseBackup(
            Collection<FleetServer> servers,
            EngineSpec engine,
            GenerationSize size,
            FleetServer runsOn,
            long nowMillis,
            RandomGenerator random) {
        return cheapest(servers, Set.of(runsOn.id()), nowMillis, random, server -> {
            ServerLoad load = loads.of(server.id(), nowMillis);
            boolean hasMemory = load.tokens() + size.totalTokens() <= MAX_BACKUP_MEMORY_SHARE * engine.memoryTokens();
            if (!hasMemory || !isSameRegion(server, runsOn)) {
                return Double.POSITIVE_INFINITY;
            }
            return cost(server, load, runsOn.registration().zone())
                    + BACKUP_MEMORY_COST_MILLIS * load.tokens() / engine.memoryTokens()
                    + slowdownCost(server, servers, size)
                    + copyCost(server, runsOn, engine, size, nowMillis);
        });
    }

    private Optional<FleetServer> cheapest(
            Collection<FleetServer> servers,
            Set<String> excluded,
            long nowMillis,
            RandomGenerator random,
            ToDoubleFunction<FleetServer> costs) {
        FleetServer best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (FleetServer server : servers) {
            if (excluded.contains(server.id()) || !health.isUsable(server.id(), nowMillis)) {
                continue;
            }
            double cost = costs.applyAsDouble(server) + random.nextDouble() * MAX_JITTER_MILLIS;
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether state can be copied between two servers in useful time. The link between regions carries about
     * 20 Mbit/s for everything, and the state of one generation has several Gbit.
     */
    private boolean isSameRegion(FleetServer server, FleetServer other) {
        return ZoneDistance.between(
                        server.registration().zone(), other.registration().zone(), regions)
                != ZoneDistance.OTHER_REGION;
    }

    private static boolean hasRoom(ServerLoad load, EngineSpec engine, GenerationSize size) {
        if (load.requests() == 0) {
            return true;
        }
        return load.requests() < engine.slots()
                && load.prefillTokens() <= MAX_PREFILL_TOKENS
                && load.tokens() + size.totalTokens() <= MAX_MEMORY_SHARE * engine.memoryTokens();
    }

    private double slowdownCost(FleetServer server, Collection<FleetServer> servers, GenerationSize size) {
        double excess = intervals.slowdownFactor(server.id(), servers) - 1;
        return excess
                * (size.expectedTokens() >= LONG_RESPONSE_TOKENS
                        ? LONG_SLOWDOWN_COST_MILLIS
                        : SHORT_SLOWDOWN_COST_MILLIS);
    }

    /** A stream that cannot move is lost for certain, so a target without enough memory is only put last. */
    private static double overflowCost(ServerLoad load, EngineSpec engine, GenerationSize size) {
        double missing = load.tokens() + size.totalTokens() - MAX_MEMORY_SHARE * engine.memoryTokens();
        return Math.max(0, missing) / engine.memoryTokens() * OVERFLOW_COST_MILLIS;
    }

    private double copyCost(
            FleetServer server, FleetServer from, EngineSpec engine, GenerationSize size, long nowMillis) {
        return links.busyMillis(server.id(), nowMillis) + copyMillis(server, from, engine, size);
    }

    private static double copyMillis(FleetServer server, FleetServer from, EngineSpec engine, GenerationSize size) {
        boolean isSameZone =
                server.registration().zone().equals(from.registration().zone());
        return CopyLinkSchedule.copyMillis(engine, size.promptTokens(), isSameZone);
    }

    private double cost(FleetServer server, ServerLoad load, String from) {
        double cost = load.requests() * REQUEST_COST_MILLIS + load.prefillTokens() / PREFILL_TOKENS_PER_MILLI;
        cost += health.failureRate(server.id()) * FAILURE_COST_MILLIS;
        if (server.registration().slowStartMillis() > 0) {
            cost += SLOW_START_COST_MILLIS;
        }
        return switch (ZoneDistance.between(from, server.registration().zone(), regions)) {
            case SAME_ZONE -> cost;
            case SAME_REGION -> cost + OTHER_ZONE_COST_MILLIS;
            case OTHER_REGION -> cost + OTHER_REGION_COST_MILLIS;
        };
    }
}
