import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Writes the operator's manifest. */
final class Manifest {
    final ObjectNode root = Store.JSON.createObjectNode();
    final ArrayNode routes;
    final ArrayNode services;
    final ArrayNode tenants;

    Manifest(long version) {
        root.put("version", version);
        routes = root.putArray("routes");
        services = root.putArray("services");
        tenants = root.putArray("tenants");
        root.putObject("limits")
                .put("maxHeaderBytes", 16_384)
                .put("maxBodyBytes", 4_194_304)
                .put("headerTimeoutMs", 3_000)
                .put("idleTimeoutMs", 15_000);
    }

    Manifest route(String name, String prefix, String type, String service, long timeoutMs, int attempts) {
        ObjectNode route = routes.addObject()
                .put("name", name)
                .put("host", "case.example")
                .put("prefix", prefix)
                .put("routeType", type)
                .put("service", service)
                .put("timeoutMs", timeoutMs)
                .put("targetLatencyMs", 200)
                .put("priority", 1)
                .put("attempts", attempts)
                .put("public", false)
                .put("sessionAffinity", type.equals("streaming"))
                .put("resumable", false)
                .put("gapTargetMs", 180);
        return this;
    }

    Manifest service(String name) {
        services.addObject().put("name", name).put("healthPath", "/health").put("maxConnections", 100);
        return this;
    }

    Manifest engine(String name) {
        services.addObject()
                .put("name", name)
                .put("healthPath", "/health")
                .put("maxConnections", 242)
                .putObject("engine")
                .put("slots", 24)
                .put("kvCapacity", 34_377)
                .put("kvTokenBytes", 163_840)
                .put("linkMbps", 24_000)
                .put("moves", true)
                .put("backups", true)
                .put("stride", 4);
        return this;
    }

    Manifest tenant(String name, String... keys) {
        ArrayNode list = tenants.addObject().put("name", name).putArray("apiKeys");
        for (String key : keys) {
            list.add(key);
        }
        return this;
    }

    @Override
    public String toString() {
        return root.toString();
    }
}
