package io.hornbeamscale.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** Holds the models, adapters and role of the engine stand-in and executes the commands that change them. */
final class EngineCommandHandler {
    private final boolean checksFencing;
    private final long loadingMillis;
    private final WeightStoreStandIn weightStore;
    private final Map<String, String> models = new TreeMap<>();
    private final Map<String, String> adapters = new TreeMap<>();
    private String role = "serve";
    private long fence;
    private long loadingUntilMillis;
    private int executedCommands;
    private int staleCommands;

    EngineCommandHandler(boolean checksFencing, long loadingMillis, WeightStoreStandIn weightStore) {
        this.checksFencing = checksFencing;
        this.loadingMillis = loadingMillis;
        this.weightStore = weightStore;
    }

    synchronized StandInResponse execute(JsonNode command, long nowMillis) {
        long commandFence = command.path("fence").asLong();
        if (commandFence < fence) {
            staleCommands++;
            if (checksFencing) {
                return StandInResponse.json(409, Map.of("error", "stale_fence", "fence", fence));
            }
        }
        fence = Math.max(fence, commandFence);
        return apply(command, nowMillis);
    }

    private StandInResponse apply(JsonNode command, long nowMillis) {
        String name = command.path("name").asText();
        String version = command.path("version").asText();
        switch (command.path("kind").asText()) {
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
                return StandInResponse.error(400, "unknown_order");
            }
        }
        executedCommands++;
        return StandInResponse.json(200, state(nowMillis));
    }

    private StandInResponse load(Map<String, String> target, String name, String version, long nowMillis) {
        if (version.equals(target.get(name))) {
            return StandInResponse.json(200, state(nowMillis));
        }
        if (weightStore != null && !weightStore.tryFetch(name, version)) {
            return StandInResponse.error(503, "weights_unavailable");
        }
        target.put(name, version);
        loadingUntilMillis = nowMillis + loadingMillis;
        executedCommands++;
        return StandInResponse.json(200, state(nowMillis));
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

    synchronized int executedCommands() {
        return executedCommands;
    }

    synchronized int staleCommands() {
        return staleCommands;
    }
}
