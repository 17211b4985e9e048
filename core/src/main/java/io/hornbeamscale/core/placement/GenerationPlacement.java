package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.route.EngineSpec;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses a backend server for a generation, for the load of many long responses whose memory grows while they run.
 * The memory that all requests of a server will need at their end must fit, since an engine that runs out of memory
 * interrupts a running response. Among the servers with room, the one wins on which the first token comes soonest and
 * the other responses are slowed least; near servers are preferred as long as they are not more than a few requests
 * busier.
 */
public final class GenerationPlacement {
    /** The share of an engine's memory that placed requests may need at their end. */
    static final double MEMORY_SHARE = 0.94;

    /** The share of an engine's memory up to which copies of other servers' generations are placed. */
    static final double BACKUP_SHARE = 0.6;

    /** The cost of an engine's full memory for a copy, in milliseconds; it spreads copies over the servers. */
    private static final double BACKUP_MEMORY_COST = 100;

    /** The cost of one request that runs or waits, in milliseconds until the first token. */
    private static final double REQUEST_COST = 25;

    /** The prompt tokens that an engine reads in a millisecond. */
    private static final double PREFILL_TOKENS_PER_MILLI = 14;

    /** The cost of another zone and of another region, in milliseconds; it stands for delay and paid bytes. */
    private static final double ZONE_COST = 30;

    private static final double REGION_COST = 130;

    /** The cost of a server that fails every request, in milliseconds. */
    private static final double FAILURE_COST = 1_500;

    /** The cost of a server that is still slow after its start, in milliseconds. */
    private static final double SLOW_START_COST = 150;

    /** The range of the random cost that keeps several entries from choosing the same server, in milliseconds. */
    private static final double JITTER = 12;

    private final LoadBook loads;
    private final HealthBook health;
    private final String zone;
    private final Map<String, String> regions;

    /**
     * Creates a placement.
     *
     * @param loads the load of the servers, not null
     * @param health how well servers answered, not null
     * @param zone the zone of this entry, not null
     * @param regions the region of each zone, not null
     */
    public GenerationPlacement(LoadBook loads, HealthBook health, String zone, Map<String, String> regions) {
        this.loads = loads;
        this.health = health;
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
        return choose(servers, engine, size, excluded, zone, nowMillis, random);
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
        return choose(servers, engine, size, excluded, source.record().zone(), nowMillis, random);
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
        FleetServer best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (FleetServer server : servers) {
            if (server.id().equals(runsOn.id()) || !health.isUsable(server.id(), nowMillis)) {
                continue;
            }
            ServerLoad load = loads.of(server.id(), nowMillis);
            if (load.tokens() + size.totalTokens() > BACKUP_SHARE * engine.memoryTokens()) {
                continue;
            }
            double cost = cost(server, load, runsOn.record().zone())
                    + BACKUP_MEMORY_COST * load.tokens() / engine.memoryTokens()
                    + random.nextDouble() * JITTER;
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<FleetServer> choose(
            Collection<FleetServer> servers,
            EngineSpec engine,
            GenerationSize size,
            Set<String> excluded,
            String from,
            long nowMillis,
            RandomGenerator random) {
        FleetServer best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (FleetServer server : servers) {
            if (excluded.contains(server.id()) || !health.isUsable(server.id(), nowMillis)) {
                continue;
            }
            ServerLoad load = loads.of(server.id(), nowMillis);
            if (!hasRoom(load, engine, size)) {
                continue;
            }
            double cost = cost(server, load, from) + random.nextDouble() * JITTER;
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean hasRoom(ServerLoad load, EngineSpec engine, GenerationSize size) {
        if (load.requests() == 0) {
            return true;
        }
        return load.requests() < engine.slots()
                && load.tokens() + size.totalTokens() <= MEMORY_SHARE * engine.memoryTokens();
    }

    private double cost(FleetServer server, ServerLoad load, String from) {
        double cost = load.requests() * REQUEST_COST + load.prefillTokens() / PREFILL_TOKENS_PER_MILLI;
        cost += health.failureRate(server.id()) * FAILURE_COST;
        if (server.record().slowStartMillis() > 0) {
            cost += SLOW_START_COST;
        }
        return switch (Distance.between(from, server.record().zone(), regions)) {
            case SAME_ZONE -> cost;
            case SAME_REGION -> cost + ZONE_COST;
            case OTHER_REGION -> cost + REGION_COST;
        };
    }
}
