package io.hornbeamscale.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** The models, adapters and role of the engine stand-in, and the orders that change them. */
final class EngineOrders {
    private final boolean checksFencing;
    private final long loadMillis;
    private final WeightStoreStandIn weights;
    private final Map<String, String> models = new TreeMap<>();
    private final Map<String, String> adapters = new TreeMap<>();
    private String role = "serve";
    private long fence;
    private long loadingUntilMillis;
    private int executed;
    private int stale;

    EngineOrders(boolean checksFencing, long loadMillis, WeightStoreStandIn weights) {
        this.checksFencing = checksFencing;
        this.loadMillis = loadMillis;
        this.weights = weights;
    }

    synchronized Answer execute(JsonNode order, long nowMillis) {
        long number = order.path("fence").asLong();
        if (number < fence) {
            stale++;
            if (checksFencing) {
                return Answer.json(409, Map.of("error", "stale_fence", "fence", fence));
            }
        }
        fence = Math.max(fence, number);
        return apply(order, nowMillis);
    }

    private Answer apply(JsonNode order, long nowMillis) {
        String name = order.path("name").asText();
        String version = order.path("version").asText();
        switch (order.path("kind").asText()) {
            case "load_model" -> {
                return load(models, name, version, nowMillis);
            }
            case "load_adapter" -> {
                return load(adapters, name, version, nowMillis);
            }
            case "unload_model" -> models.remove(name);
            case "unload_adapter" -> adapters.remove(name);
            case "change_role" -> role = name;
            default -> {
                return Answer.error(400, "unknown_order");
            }
        }
        executed++;
        return Answer.json(200, state(nowMillis));
    }

    private Answer load(Map<String, String> target, String name, String version, long nowMillis) {
        if (version.equals(target.get(name))) {
            return Answer.json(200, state(nowMillis));
        }
        if (weights != null && !weights.tryFetch(name, version)) {
            return Answer.error(503, "weights_unavailable");
        }
        target.put(name, version);
        loadingUntilMillis = nowMillis + loadMillis;
        executed++;
        return Answer.json(200, state(nowMillis));
    }

    synchronized Map<String, Object> state(long nowMillis) {
        Map<String, Object> node = new LinkedHashMap<>();
        node.put("models", Map.copyOf(models));
        node.put("adapters", Map.copyOf(adapters));
        node.put("role", role);
        node.put("fence", fence);
        node.put("loading", nowMillis < loadingUntilMillis);
        return node;
    }

    synchronized void preload(String model, String version) {
        models.put(model, version);
    }

    synchronized int executed() {
        return executed;
    }

    synchronized int stale() {
        return stale;
    }
}
