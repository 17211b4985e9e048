package io.hornbeamscale.core.eligibility;

import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.limit.ColdServerRates;
import io.hornbeamscale.core.limit.RateShares;
import io.hornbeamscale.core.limit.ServerRateLimits;
import io.hornbeamscale.core.placement.HealthTracker;
import io.hornbeamscale.core.util.Arguments;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Decides whether a backend server may get a request from this entry now. Every send asks it: first sends, retries,
 * hedges, moves, continuations and backup copies, of plain requests and of streams. Not safe for use by several
 * threads.
 */
public final class ServerEligibility {
    private final HealthTracker health;
    private final ServerRateLimits limits;
    private final ColdServerRates coldRates;
    private final RateShares order;
    private final LeavingServers leaving = new LeavingServers();
    private final ServerPauses pauses = new ServerPauses();
    private final Map<String, Long> coldUntilMillis = new HashMap<>();
    private final Map<String, String> regions;
    private final ToDoubleFunction<String> coldRequestsPerSecond;
    private final Map<IneligibleReason, Long> counts = new EnumMap<>(IneligibleReason.class);
    private Set<String> evacuatedZones = Set.of();

    /**
     * Creates a decision for an entry that knows no other entries and no evacuated zones.
     *
     * @param self the name of this entry, not null
     * @param health the health of the servers, not null
     * @param limits the request rates that servers name, not null
     * @param regions the region names by zone name, not null
     * @param coldRequestsPerSecond returns the requests per second that a cold server of a service bears from all
     *     entries, 0 for any rate, not null
     */
    public ServerEligibility(
            String self,
            HealthTracker health,
            ServerRateLimits limits,
            Map<String, String> regions,
            ToDoubleFunction<String> coldRequestsPerSecond) {
        this.health = Arguments.notNull(health, "health");
        this.limits = Arguments.notNull(limits, "limits");
        this.coldRates = new ColdServerRates(self);
        this.order = new RateShares(self, 0);
        this.regions = Map.copyOf(regions);
        this.coldRequestsPerSecond = Arguments.notNull(coldRequestsPerSecond, "coldRequestsPerSecond");
    }

    /**
     * Returns whether a server may get a request now.
     *
     * @param server the server, not null
     * @param terms the terms of the request, not null
     * @param nowMillis the present time
     * @return the verdict, never null
     */
    public Verdict check(FleetServer server, SendTerms terms, long nowMillis) {
        Verdict verdict = decide(server, terms, nowMillis);
        verdict.reason().ifPresent(reason -> counts.merge(reason, 1L, Long::sum));
        return verdict;
    }

    /**
     * Returns whether a server leaves, so that what it runs must end or move.
     *
     * @param server the server, not null
     * @return whether its registration, another entry or its own response says so
     */
    public boolean isLeaving(FleetServer server) {
        return !server.isReady() || leaving.isLeaving(server);
    }

    /**
     * Returns whether the service of a server states what request rate a cold server bears.
     *
     * @param server the server, not null
     * @return whether {@link #check} keeps the server within that rate while it is cold
     */
    public boolean hasColdRate(FleetServer server) {
        return coldRate(server) > 0;
    }

    /**
     * Takes the place of one request within the rates that bind a server. Must follow a check that allowed the request,
     * or precede a deferred send.
     *
     * @param server the server, not null
     * @param nowMillis the present time
     */
    public void reserve(FleetServer server, long nowMillis) {
        limits.take(server.id(), nowMillis);
        pauses.reserve(server.id(), nowMillis);
        double rate = coldRate(server);
        if (rate > 0 && isCold(server, nowMillis)) {
            coldRates.take(server.id(), rate, nowMillis);
        }
    }

    /**
     * Records that a server has announced in a response that it leaves.
     *
     * @param server the server, not null
     * @return whether the announcement is new
     */
    public boolean leavingAnnounced(FleetServer server) {
        return leaving.announced(server);
    }

    /**
     * Records that a server has refused a request and asked for a pause.
     *
     * @param server the server, not null
     * @param pauseMillis the length of the pause, in milliseconds
     * @param nowMillis the present time
     * @return whether the pause is kept; a malformed one is ignored
     */
    public boolean pauseRequested(FleetServer server, double pauseMillis, long nowMillis) {
        return pauses.requested(server.id(), pauseMillis, order.position(server.id()), nowMillis);
    }

    /**
     * Records how long a server says that it remains cold.
     *
     * @param server the server, not null
     * @param remainingMillis the remaining time, in milliseconds, 0 if it is not cold
     * @param nowMillis the present time
     */
    public void coldReported(FleetServer server, long remainingMillis, long nowMillis) {
        coldUntilMillis.put(server.id(), nowMillis + remainingMillis);
    }

    /**
     * Replaces the evacuated zones.
     *
     * @param zones the names of the zones, not null
     */
    public void setEvacuatedZones(Set<String> zones) {
        evacuatedZones = Set.copyOf(zones);
    }

    /**
     * Replaces the entries with which this one shares the rates of servers.
     *
     * @param others the names of the other entries, not null
     */
    public void setOtherEntries(Collection<String> others) {
        limits.setOtherEntries(others);
        coldRates.setOtherEntries(others);
        order.setOtherEntries(others);
    }

    /**
     * Removes all state of a server that is gone. Does nothing if there is none.
     *
     * @param server the id of the server, not null
     */
    public void forget(String server) {
        limits.forget(server);
        coldRates.forget(server);
        leaving.forget(server);
        pauses.forget(server);
        coldUntilMillis.remove(server);
    }

    /**
     * Returns how long a request must wait until some server may get it, as far as that depends on the time alone.
     *
     * @param servers the servers of its service, not null
     * @param terms the terms of the request, not null
     * @param nowMillis the present time
     * @return the time, in milliseconds, empty if waiting does not help
     */
    public OptionalLong earliestWaitMillis(Collection<FleetServer> servers, SendTerms terms, long nowMillis) {
        return servers.stream()
                .map(server -> decide(server, terms, nowMillis))
                .filter(Verdict::isDeferred)
                .mapToLong(verdict -> verdict.waitMillis(nowMillis))
                .min();
    }

    /**
     * Returns what forbids the servers of a service, for a log line.
     *
     * @param servers the servers, not null
     * @param terms the terms of the request, not null
     * @param nowMillis the present time
     * @return the number of servers by reason, such as {@code "cold 1, leaving 2"}, empty if all are allowed
     */
    public String summary(Collection<FleetServer> servers, SendTerms terms, long nowMillis) {
        Map<IneligibleReason, Long> found = new EnumMap<>(IneligibleReason.class);
        for (FleetServer server : servers) {
            decide(server, terms, nowMillis).reason().ifPresent(reason -> found.merge(reason, 1L, Long::sum));
        }
        return found.entrySet().stream()
                .map(each -> each.getKey().code() + " " + each.getValue())
                .collect(Collectors.joining(", "));
    }

    /**
     * Returns how often a reason has forbidden a server.
     *
     * @param reason the reason, not null
     * @return the number of checks since the start
     */
    public long count(IneligibleReason reason) {
        return counts.getOrDefault(reason, 0L);
    }

    private Verdict decide(FleetServer server, SendTerms terms, long nowMillis) {
        if (terms.excluded().contains(server.id())) {
            return Verdict.forbidden(IneligibleReason.EXCLUDED, Verdict.UNKNOWN);
        }
        String zone = server.registration().zone();
        if (!terms.regions().allows(regions.get(zone))) {
            return Verdict.forbidden(IneligibleReason.REGION, Verdict.UNKNOWN);
        }
        if (evacuatedZones.contains(zone)) {
            return Verdict.forbidden(IneligibleReason.EVACUATED, Verdict.UNKNOWN);
        }
        if (isLeaving(server)) {
            return Verdict.forbidden(IneligibleReason.LEAVING, Verdict.UNKNOWN);
        }
        boolean isReserved = terms.isReservedAt(server.id());
        long pause = pauses.nextMillis(server.id(), isReserved, nowMillis);
        Verdict latest = later(Verdict.ALLOWED, IneligibleReason.PAUSED, pause, nowMillis);
        boolean isBoundByRates = terms.isCounted() && !isReserved;
        if (isBoundByRates) {
            long limit = nowMillis + limits.waitMillis(server.id(), nowMillis);
            latest = later(latest, IneligibleReason.RATE_LIMITED, limit, nowMillis);
            latest = later(latest, IneligibleReason.COLD, coldNextMillis(server, nowMillis), nowMillis);
        }
        if (latest.isAllowed() && !health.isUsable(server.id(), nowMillis)) {
            return Verdict.forbidden(IneligibleReason.EJECTED, health.ejectedUntilMillis(server.id()));
        }
        return latest;
    }

    private static Verdict later(Verdict verdict, IneligibleReason reason, long untilMillis, long nowMillis) {
        return untilMillis > nowMillis && untilMillis > verdict.earliestMillis()
                ? Verdict.forbidden(reason, untilMillis)
                : verdict;
    }

    private long coldNextMillis(FleetServer server, long nowMillis) {
        double rate = coldRate(server);
        if (rate <= 0) {
            return 0;
        }
        if (!isCold(server, nowMillis)) {
            coldRates.forget(server.id());
            return 0;
        }
        return coldRates.nextMillis(server.id(), rate, nowMillis);
    }

    private double coldRate(FleetServer server) {
        return coldRequestsPerSecond.applyAsDouble(server.registration().service());
    }

    /**
     * Returns whether a server is cold.
     *
     * @param server the server, not null
     * @param nowMillis the present time
     * @return whether its registration or one of its responses says so
     */
    public boolean isCold(FleetServer server, long nowMillis) {
        return server.isCold(nowMillis) || nowMillis < coldUntilMillis.getOrDefault(server.id(), Long.MIN_VALUE);
    }
}
