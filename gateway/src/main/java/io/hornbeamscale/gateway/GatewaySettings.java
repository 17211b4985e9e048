package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import java.util.Map;
import java.util.Optional;

/**
 * The settings of an entry that sends requests straight to backend servers.
 *
 * @param node the name of this process's VM
 * @param ip the address of the VM
 * @param zone the availability zone of the VM
 * @param regions the region of each availability zone
 * @param callerAddress where callers connect, empty if none do
 * @param readinessAddress where readiness is asked for, empty if nobody asks
 * @param peerPort where other entries connect
 * @param metricsPort where metrics are served
 * @param storeAddress the address of the metadata store
 * @param drainMillis within which time a leaving server must not receive requests any more, in milliseconds
 * @param graceMillis the time between the request to stop and the kill, in milliseconds
 * @param repeatRatio the repeats allowed for each request
 * @param repeatWindowMillis the window in which repeats are counted, in milliseconds
 * @param repeatSlack the repeats that all entries together may add in a window
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
        long drainMillis,
        long graceMillis,
        double repeatRatio,
        long repeatWindowMillis,
        double repeatSlack) {
    /** Copies the map. */
    public GatewaySettings {
        regions = Map.copyOf(regions);
    }

    /**
     * Returns the settings with another port for the metrics.
     *
     * @param port the port, 0 to keep the present one
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
                drainMillis,
                graceMillis,
                repeatRatio,
                repeatWindowMillis,
                repeatSlack);
    }
}
