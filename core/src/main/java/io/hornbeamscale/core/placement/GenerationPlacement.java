package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.eligibility.SendTerms;
import io.hornbeamscale.core.eligibility.ServerEligibility;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.route.EngineSpec;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Chooses a backend server for a generation. Responses are long, and their memory grows while they run. The memory that
 * all requests of a server need at their end must fit within a limit, since an engine that runs out of memory
 * interrupts a running response. Among the servers with room, the one with the lowest cost is chosen: the cost covers
 * the time to the first token and the slowdown of other responses. Nearby servers are preferred unless they have a few
 * more requests than distant ones. Long responses avoid slow servers, which have longer gaps between tokens; short
 * responses may go there.
 */
public final class GenerationPlacement {
    /**
     * The memory that the requests of a server may need at their end, as a share of the engine's memory. The share may
     * exceed 1 because the requests end at different times; at 1.6, engines interrupt running responses.
     */
    static final double MAX_MEMORY_SHARE = 1.2;

    /**
     * The share of an engine's memory in use up to which long responses are placed there. The rest is for short
     * responses and for streams that move away from a leaving server.
     */
    static final double MAX_USED_SHARE_LONG = 0.85;

    /** The same share for short responses, which free their memory before the others grow. */
    static final double MAX_USED_SHARE_SHORT = 0.95;

    /**
     * The cost of memory that could not move anywhere if the server left, for memory of the size of one engine, in
     * milliseconds.
     */
    private static final double STRANDED_COST_MILLIS = 2_000;

    /** The share of an engine's memory up to which backup copies of other servers' generations are placed there. */
    static final double MAX_BACKUP_MEMORY_SHARE = 0.4;

    /** The minimum expected length of a long response, in tokens. */
    private static final long LONG_RESPONSE_TOKENS = 100;

    /** The cost of full engine memory for a backup copy, in milliseconds. It spreads copies over the servers. */
    private static final double BACKUP_MEMORY_COST_MILLIS = 100;

    /** The cost of a move target whose missing memory equals the engine's memory, in milliseconds. */
    private static final double OVERFLOW_COST_MILLIS = 2_000;

    /** The weight of prompts that wait at a move target; a moved stream is running, so its pause must stay short. */
    private static final double MOVE_PREFILL_FACTOR = 2;

    /** The share of a leaving server's requests whose copies queue behind this one on the server's link. */
    private static final double QUEUED_COPY_SHARE = 0.5;

    /**
     * The maximum number of prompt tokens that wait at a server when another request is placed there, about two
     * prompts. Further prompts wait at the entry for the first server with room.
     */
    private static final long MAX_PREFILL_TOKENS = 6_000;

    /** The cost of one running or waiting request, in milliseconds until the first token. */
    private static final double REQUEST_COST_MILLIS = 25;

    /** The prompt tokens that an engine processes per millisecond while it also generates responses. */
    private static final double PREFILL_TOKENS_PER_MILLI = 7;

    /** The cost of another zone, in milliseconds, for network delay and paid traffic. */
    private static final double OTHER_ZONE_COST_MILLIS = 30;

    /** The cost of another region, in milliseconds, for network delay and paid traffic. */
    private static final double OTHER_REGION_COST_MILLIS = 130;

    /** The cost of a server that fails every request, in milliseconds. */
    private static final double FAILURE_COST_MILLIS = 1_500;

    /**
     * The cost of a server that is still slow after its start, in milliseconds. Other servers are preferred while they
     * have room. Where a service states what rate a cold server bears, the rate protects the server instead.
     */
    private static final double SLOW_START_COST_MILLIS = 2_000;

    /**
     * The cost for a long response of a server that takes twice as long per event as the fastest, in milliseconds. A
     * server that takes 1.3 times as long costs as much as a full queue of prompts elsewhere. A cost three times as
     * high filled the faster servers until they interrupted running responses.
     */
    private static final double LONG_SLOWDOWN_COST_MILLIS = 3_000;

    /** The same cost for a short response, which has few gaps. */
    private static final double SHORT_SLOWDOWN_COST_MILLIS = 150;

    /**
     * The cost of a prompt on a server that takes twice as long per event as the fastest, for each request that runs
     * there, in milliseconds. While a slow server reads a prompt, the gaps of its running streams exceed their
     * objective; a faster server reads it within the objective.
     */
    private static final double DISTURBANCE_COST_MILLIS = 700;

    /** The maximum random cost, in milliseconds, which keeps several entries from choosing the same server. */
    private static final double MAX_JITTER_MILLIS = 12;

    /**
     * The same for the destination of a move, in milliseconds, about the time of one copy. All entries with streams on
     * a leaving server choose at the same moment; if they chose the same server, only the first would find room.
     */
    private static final double MAX_MOVE_JITTER_MILLIS = 150;

    private final LoadTracker loads;
    private final HealthTracker health;
    private final EventIntervalTracker intervals;
    private final CopyLinkSchedule links;
    private final ServerEligibility eligibility;
    private final String zone;
    private final Map<String, String> regions;

    /**
     * Creates a placement.
     *
     * @param loads the load of the servers, not null
     * @param health the health of the servers, not null
     * @param intervals the time per event of the servers, not null
     * @param links the schedule of state copies between servers, not null
     * @param eligibility decides which servers may get a request, not null
     * @param zone the zone of this entry, not null
     * @param regions the region names by zone name, not null
     */
    public GenerationPlacement(
            LoadTracker loads,
            HealthTracker health,
            EventIntervalTracker intervals,
            CopyLinkSchedule links,
            ServerEligibility eligibility,
            String zone,
            Map<String, String> regions) {
        this.loads = loads;
        this.health = health;
        this.intervals = intervals;
        this.links = links;
        this.eligibility = eligibility;
        this.zone = zone;
        this.regions = Map.copyOf(regions);
    }

    /**
     * Chooses the server for a new generation.
     *
     * @param servers the servers that take requests, not null
     * @param engine the engine, not null
     * @param size the size of the generation, not null
     * @param terms the terms of the request, not null
     * @param nowMillis the present time
     * @param random the source of random costs, not null
     * @return the server, empty if no usable server has room and takes a request now
     */
    public Optional<FleetServer> choose(
            Collection<FleetServer> servers,
            EngineSpec engine,
            GenerationSize size,
            SendTerms terms,
            long nowMillis,
            RandomGenerator random) {
        return cheapest(servers, terms, nowMillis, random, MAX_JITTER_MILLIS, server -> {
            ServerLoad load = loads.of(server.id(), nowMillis);
            return hasRoom(load, engine, size)
                    ? cost(server, load, zone, nowMillis)
                            + slowdownCost(server, servers, size, load.requests())
                            + strandedCost(server, servers, engine, size, nowMillis)
                    : Double.POSITIVE_INFINITY;
        });
    }

    /**
     * Chooses the server to which a running generation moves with its state. Missing memory raises the cost of a server
     * but does not exclude it.
     *
     * @param servers the servers that take requests, not null
     * @param engine the engine, not null
     * @param size the size of the generation, not null
     * @param source the server on which it runs, not null
     * @param terms the terms of the request, not null
     * @param nowMillis the present time
     * @param random the source of random costs, not null
     * @return the server, near the source if possible; empty if no usable server of the region has a free slot
     */
    public Optional<FleetServer> chooseDestination(
            Collection<FleetServer> servers,
            EngineSpec engine,
            GenerationSize size,
            FleetServer source,
            SendTerms terms,
            long nowMillis,
            RandomGenerator random) {
        double queuedCopies = loads.of(source.id(), nowMillis).requests() * QUEUED_COPY_SHARE;
        return cheapest(servers, terms, nowMillis, random, MAX_MOVE_JITTER_MILLIS, server -> {
            ServerLoad load = loads.of(server.id(), nowMillis);
            return load.requests() < engine.slots() && isSameRegion(server, source)
                    ? cost(server, load, source.registration().zone(), nowMillis)
                            + slowdownCost(server, servers, size, load.requests())
                            + copyCost(server, source, engine, size, nowMillis)
                            + queuedCopies * copyMillis(server, source, engine, size)
                            + overflowCost(load, engine, size)
                            + MOVE_PREFILL_FACTOR * load.prefillTokens() / PREFILL_TOKENS_PER_MILLI
                    : Double.POSITIVE_INFINITY;
        });
    }

    /**
     * Chooses the server that receives a backup copy of a generation's state while the generation runs. Copies take
     * memory from requests, so a server is chosen only while most of its memory is free.
     *
     * @param servers the servers that take requests, not null
     * @param engine the engine, not null
     * @param size the size of the generation, not null
     * @param runsOn the server that runs the generation, not null
     * @param terms the terms of the request, which is not sent to the server that gets the copy, not null
     * @param nowMillis the present time
     * @param random the source of random costs, not null
     * @return the server, near the one that runs the generation if possible; empty if no usable server of the region
     *     has enough free memory
     */
    public Optional<FleetServer> chooseBackup(
            Collection<FleetServer> servers,
            EngineSpec engine,
            GenerationSize size,
            FleetServer runsOn,
            SendTerms terms,
            long nowMillis,
            RandomGenerator random) {
        return cheapest(servers, terms.uncounted(), nowMillis, random, MAX_JITTER_MILLIS, server -> {
            if (server.id().equals(runsOn.id())) {
                return Double.POSITIVE_INFINITY;
            }
            ServerLoad load = loads.of(server.id(), nowMillis);
            boolean hasMemory = load.tokens() + size.totalTokens() <= MAX_BACKUP_MEMORY_SHARE * engine.memoryTokens();
            if (!hasMemory || !isSameRegion(server, runsOn)) {
                return Double.POSITIVE_INFINITY;
            }
            return cost(server, load, runsOn.registration().zone(), nowMillis)
                    + BACKUP_MEMORY_COST_MILLIS * load.tokens() / engine.memoryTokens()
                    + slowdownCost(server, servers, size, load.requests())
                    + copyCost(server, runsOn, engine, size, nowMillis);
        });
    }

    private Optional<FleetServer> cheapest(
            Collection<FleetServer> servers,
            SendTerms terms,
            long nowMillis,
            RandomGenerator random,
            double jitterMillis,
            ToDoubleFunction<FleetServer> costs) {
        FleetServer best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (FleetServer server : servers) {
            if (!eligibility.check(server, terms, nowMillis).isAllowed()) {
                continue;
            }
            double cost = costs.applyAsDouble(server) + random.nextDouble() * jitterMillis;
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether two servers are in one region. State is not copied between regions: their link carries about 20
     * Mbit/s in total, and the state of one generation has several Gbit.
     */
    private boolean isSameRegion(FleetServer server, FleetServer other) {
        return ZoneDistance.between(
                        server.registration().zone(), other.registration().zone(), regions)
                != ZoneDistance.OTHER_REGION;
    }

    /**
     * Returns for how many generations of a size a server has room, going by the prompts that wait there and the memory
     * in use.
     *
     * @param server the server, not null
     * @param engine the engine, not null
     * @param size the size of one generation, not null
     * @param nowMillis the present time
     * @return the number, at least 1
     */
    public int places(FleetServer server, EngineSpec engine, GenerationSize size, long nowMillis) {
        ServerLoad load = loads.of(server.id(), nowMillis);
        long prompt = Math.max(1, size.promptTokens());
        long byPrompts = 1 + (MAX_PREFILL_TOKENS - load.prefillTokens()) / prompt;
        long byMemory = (engine.memoryTokens() - load.usedTokens()) / Math.max(1, size.totalTokens());
        return (int) Math.max(1, Math.min(byPrompts, byMemory));
    }

    private static boolean hasRoom(ServerLoad load, EngineSpec engine, GenerationSize size) {
        if (load.requests() == 0) {
            return true;
        }
        if (load.requests() >= engine.slots() || load.prefillTokens() > MAX_PREFILL_TOKENS) {
            return false;
        }
        // All requests of a server grow at the same rate, so a short response ends before they have grown much.
        long growth = Math.min(size.expectedTokens(), LONG_RESPONSE_TOKENS) * (load.requests() + 1L);
        long used = load.usedTokens() + size.promptTokens() + growth;
        if (!isLong(size)) {
            return used <= MAX_USED_SHARE_SHORT * engine.memoryTokens();
        }
        return used <= MAX_USED_SHARE_LONG * engine.memoryTokens()
                && load.tokens() + size.totalTokens() <= MAX_MEMORY_SHARE * engine.memoryTokens();
    }

    private static boolean isLong(GenerationSize size) {
        return size.expectedTokens() >= LONG_RESPONSE_TOKENS;
    }

    /**
     * Returns the cost of the memory for which the other servers of the region have no room. Streams move only within a
     * region, so they are lost with a server whose neighbors are full.
     */
    private double strandedCost(
            FleetServer server,
            Collection<FleetServer> servers,
            EngineSpec engine,
            GenerationSize size,
            long nowMillis) {
        if (!engine.canMove() || !isLong(size)) {
            return 0;
        }
        long free = 0;
        for (FleetServer other : servers) {
            if (!other.id().equals(server.id()) && isSameRegion(server, other)) {
                free += Math.max(
                        0,
                        engine.memoryTokens() - loads.of(other.id(), nowMillis).usedTokens());
            }
        }
        long used = loads.of(server.id(), nowMillis).usedTokens() + size.totalTokens();
        return (double) Math.max(0, used - free) / engine.memoryTokens() * STRANDED_COST_MILLIS;
    }

    private double slowdownCost(
            FleetServer server, Collection<FleetServer> servers, GenerationSize size, int requests) {
        double excess = intervals.slowdownFactor(server.id(), servers) - 1;
        if (excess <= 0) {
            return 0;
        }
        double own = isLong(size) ? LONG_SLOWDOWN_COST_MILLIS : SHORT_SLOWDOWN_COST_MILLIS;
        return excess * (own + DISTURBANCE_COST_MILLIS * requests);
    }

    /**
     * Returns the cost of missing memory. Such targets rank last but stay eligible, since a stream without one is lost.
     */
    private static double overflowCost(ServerLoad load, EngineSpec engine, GenerationSize size) {
        double missing = load.usedTokens() + size.totalTokens() - engine.memoryTokens();
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

    private double cost(FleetServer server, ServerLoad load, String fromZone, long nowMillis) {
        double cost = load.requests() * REQUEST_COST_MILLIS + load.prefillTokens() / PREFILL_TOKENS_PER_MILLI;
        cost += health.failureRate(server.id()) * FAILURE_COST_MILLIS;
        if (server.isCold(nowMillis) && !eligibility.hasColdRate(server)) {
            cost += SLOW_START_COST_MILLIS;
        }
        return switch (ZoneDistance.between(fromZone, server.registration().zone(), regions)) {
            case SAME_ZONE -> cost;
            case SAME_REGION -> cost + OTHER_ZONE_COST_MILLIS;
            case OTHER_REGION -> cost + OTHER_REGION_COST_MILLIS;
        };
    }
}
