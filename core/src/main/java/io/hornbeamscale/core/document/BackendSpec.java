package io.hornbeamscale.core.document;

/**
 * A backend server and its properties. Null texts become empty.
 *
 * @param name the name, unique among backend servers, without dots
 * @param service the name of the service that it serves
 * @param region the name of the region
 * @param zone the name of the availability zone
 * @param address host and port of the agent beside the backend server
 * @param model the name of the model to load, empty for plain services
 * @param memoryTokens the engine's memory in tokens, 0 for plain services
 * @param maxRunning the maximum number of requests that run at the same time
 * @param checksFencing whether the backend server itself rejects outdated fencing numbers
 * @param honoursPriorities whether the engine honours priorities
 */
public record BackendSpec(
        @FieldRule(meaning = "name, unique among backend servers")
        String name,

        @FieldRule(meaning = "service that the backend server serves")
        String service,

        @FieldRule(meaning = "region") String region,

        @FieldRule(meaning = "availability zone, one of the region's")
        String zone,

        @FieldRule(meaning = "address of the agent beside the backend server, unique", format = TextFormat.ADDRESS)
        String address,

        @FieldRule(
                meaning = "model that it should hold, one of the service's; empty for a plain service",
                format = TextFormat.MODEL_NAME,
                optional = true)
        String model,

        @FieldRule(
                meaning = "engine memory in tokens, at least the model's maxOutputTokens; 0 for a plain service",
                min = 0,
                max = 1e9,
                optional = true)
        long memoryTokens,

        @FieldRule(meaning = "greatest number of requests that run at once", min = 1, max = 4096)
        int maxRunning,

        @FieldRule(meaning = "whether the engine rejects old fencing numbers itself", optional = true)
        boolean checksFencing,

        @FieldRule(meaning = "whether the engine honours priorities", optional = true)
        boolean honoursPriorities)
        implements Entity {
    /** Replaces null texts by empty ones. */
    public BackendSpec {
        name = NullToEmpty.text(name);
        service = NullToEmpty.text(service);
        region = NullToEmpty.text(region);
        zone = NullToEmpty.text(zone);
        address = NullToEmpty.text(address);
        model = NullToEmpty.text(model);
    }
}
