package io.hornbeamscale.core.hedge;

import io.hornbeamscale.core.eligibility.SendTerms;
import io.hornbeamscale.core.eligibility.ServerEligibility;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.limit.ServerRateLimits;
import io.hornbeamscale.core.placement.LoadTracker;
import io.hornbeamscale.core.placement.PlainPlacement;
import io.hornbeamscale.core.util.Arguments;
import java.util.Collection;
import java.util.List;

/**
 * Finds the servers that may get a hedge of a plain request: those that may get the request now without waiting, are
 * not cold and name no request limit. The capacity of cold and limited servers is kept for first sends. Not safe for
 * use by several threads.
 */
public final class HedgeCandidates {
    private final ServerEligibility eligibility;
    private final ServerRateLimits limits;
    private final PlainPlacement placement;
    private final LoadTracker loads;

    /**
     * Creates a finder.
     *
     * @param eligibility decides which servers may get a request, not null
     * @param limits the request rates that servers name, not null
     * @param placement estimates response times, not null
     * @param loads the load of the servers, not null
     */
    public HedgeCandidates(
            ServerEligibility eligibility, ServerRateLimits limits, PlainPlacement placement, LoadTracker loads) {
        this.eligibility = Arguments.notNull(eligibility, "eligibility");
        this.limits = Arguments.notNull(limits, "limits");
        this.placement = Arguments.notNull(placement, "placement");
        this.loads = Arguments.notNull(loads, "loads");
    }

    /**
     * Returns the servers that may get a hedge.
     *
     * @param servers the servers of the service, not null
     * @param terms the terms of the request, which exclude the servers that it was sent to, not null
     * @param nowMillis the present time
     * @return the servers with their estimates and load, never null
     */
    public List<HedgeCandidate> of(Collection<FleetServer> servers, SendTerms terms, long nowMillis) {
        return servers.stream()
                .filter(server -> eligibility.check(server, terms, nowMillis).isAllowed())
                .filter(server -> !eligibility.isCold(server, nowMillis))
                .filter(server -> Double.isInfinite(limits.requestsPerSecond(server.id())))
                .map(server -> new HedgeCandidate(
                        server.id(),
                        placement.estimateMillis(server, nowMillis),
                        loads.of(server.id(), nowMillis).requests(),
                        server.registration().slots()))
                .toList();
    }
}
