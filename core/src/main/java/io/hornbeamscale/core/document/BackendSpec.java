package io.hornbeamscale.core.document;

/**
 * A backend server and its traits.
 *
 * @param name the name, unique among backend servers, without dots
 * @param service the service that it serves
 * @param region the region
 * @param zone the availability zone
 * @param address host and port of the agent beside the backend server
 * @param model the model that it should hold, empty for plain services
 * @param memoryTokens the engine's memory in tokens, 0 for plain services
 * @param maxRunning the greatest number of requests that run at once
 * @param checksFencing whether the backend server rejects old fencing numbers itself
 * @param honoursPriorities whether the engine honours priorities
 */
public record BackendSpec(
        String name,
        String service,
        String region,
        String zone,
        String address,
        String model,
        long memoryTokens,
        int maxRunning,
        boolean checksFencing,
        boolean honoursPriorities) {}
