package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.hedge.HedgePolicy;
import io.hornbeamscale.core.limit.ClientLimits;
import io.hornbeamscale.core.limit.ColdLimits;
import java.util.Map;
import java.util.Optional;

/**
 * The settings of a {@link Gateway}.
 *
 * @param node the name of this process's VM
 * @param ip the address of the VM
 * @param zone the availability zone of the VM
 * @param regions the region of each availability zone
 * @param callerAddress the address for callers, empty to accept none
 * @param readinessAddress the address of the readiness check, empty for none
 * @param peerPort the port for the other entries
 * @param metricsPort the port of the metrics
 * @param storeAddress the address of the metadata store
 * @param clientLimits the limits on what is held for all callers
 * @param drainMillis the time within which requests to a leaving server must stop, in milliseconds
 * @param graceMillis the grace period between the request to stop and the kill, in milliseconds
 * @param repeatRatio the repeated sends allowed per request
 * @param repeatWindowMillis the length of the window in which repeated sends are counted, in milliseconds
 * @param repeatSlack the repeated sends that all entries together may add in a window
 * @param coldLimits how many requests a cold server may get
 * @param hedging whether and how much to hedge slow requests
 */
public record GatewaySettings(
        String node,
        String ip,
        String zone,
        Map<String, String> regions,
        Optional<Endpoint> callerAddress,
        Optional<Endpoint> readinessAddress,
        int peerPort,
        int metricsPort,
        Endpoint storeAddress,
        ClientLimits clientLimits,
        long drainMillis,
        long graceMillis,
        double repeatRatio,
        long repeatWindowMillis,
        double repeatSlack,
        ColdLimits coldLimits,
        HedgePolicy hedging) {
    /** Copies the map. */
    public GatewaySettings {
        regions = Map.copyOf(regions);
    }

    /**
     * Returns a copy with another port for the metrics.
     *
     * @param port the port, 0 to keep the current one
     * @return the settings, never null
     */
    public GatewaySettings withMetricsPort(int port) {
        if (port == 0) {
            return this;
        }
        return new GatewaySettings(
                node,
                ip,
                zone,
                regions,
                callerAddress,
                readinessAddress,
                peerPort,
                port,
                storeAddress,
                clientLimits,
                drainMillis,
                graceMillis,
                repeatRatio,
                repeatWindowMillis,
                repeatSlack,
                coldLimits,
                hedging);
    }

    /**
     * Returns a copy with another policy for hedging.
     *
     * @param policy the policy, not null
     * @return the settings, never null
     */
    public GatewaySettings withHedging(HedgePolicy policy) {
        return new GatewaySettings(
                node,
                ip,
                zone,
                regions,
                callerAddress,
                readinessAddress,
                peerPort,
                metricsPort,
                storeAddress,
                clientLimits,
                drainMillis,
                graceMillis,
                repeatRatio,
                repeatWindowMillis,
                repeatSlack,
                coldLimits,
                policy);
    }
}
