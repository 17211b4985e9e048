package io.hornbeamscale.external;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamscale.core.reconcile.ActualEngineState;
import io.hornbeamscale.core.reconcile.EngineCommand;
import io.hornbeamscale.core.reconcile.EngineCommandReply;
import io.hornbeamscale.core.util.Arguments;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;

/** An HTTP client of an engine's command interface. */
public final class HttpEngineCommands implements EngineCommands {
    private final RetryingHttpClient client;

    /**
     * Creates a client.
     *
     * @param io the shared I/O thread, not null
     * @param address the address of the engine, not null
     * @param policy the timeouts and retry pauses, not null
     */
    public HttpEngineCommands(PlatformIo io, InetSocketAddress address, CallPolicy policy) {
        client = new RetryingHttpClient(
                Arguments.notNull(io, "io"),
                Arguments.notNull(address, "address"),
                Arguments.notNull(policy, "policy"));
    }

    @Override
    public CompletionStage<EngineCommandReply> execute(EngineCommand command) {
        String body = JsonBodies.encode(fields(Arguments.notNull(command, "command")));
        return client.call(new HttpRequestSpec("POST", "/orders", body, true, false, "", 0))
                .thenApply(HttpEngineCommands::reply);
    }

    @Override
    public CompletionStage<Optional<ActualEngineState>> readState() {
        return client.call(HttpRequestSpec.get("/state")).thenApply(outcome -> {
            JsonNode node = JsonBodies.bodyOf(outcome);
            return node.isObject() ? Optional.of(engineState(node)) : Optional.empty();
        });
    }

    private static Map<String, Object> fields(EngineCommand command) {
        if (command instanceof EngineCommand.LoadModel load) {
            return commandFields(command, "load_model", load.model(), load.version());
        }
        if (command instanceof EngineCommand.LoadAdapter load) {
            return commandFields(command, "load_adapter", load.adapter(), load.version());
        }
        if (command instanceof EngineCommand.UnloadModel unload) {
            return commandFields(command, "unload_model", unload.model(), "");
        }
        if (command instanceof EngineCommand.UnloadAdapter unload) {
            return commandFields(command, "unload_adapter", unload.adapter(), "");
        }
        return commandFields(command, "change_role", ((EngineCommand.ChangeRole) command).role(), "");
    }

    private static Map<String, Object> commandFields(EngineCommand command, String kind, String name, String version) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("fence", command.fence());
        fields.put("kind", kind);
        fields.put("name", name);
        fields.put("version", version);
        return fields;
    }

    private static EngineCommandReply reply(HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered answered)) {
            return new EngineCommandReply.NoAnswer();
        }
        return switch (answered.status()) {
            case 200 -> new EngineCommandReply.Accepted(engineState(JsonBodies.bodyOf(outcome)));
            case 409 ->
                new EngineCommandReply.StaleFence(
                        JsonBodies.decode(answered.body()).path("fence").asLong());
            default -> new EngineCommandReply.Refused();
        };
    }

    private static ActualEngineState engineState(JsonNode node) {
        return new ActualEngineState(
                textFields(node.path("models")),
                textFields(node.path("adapters")),
                node.path("role").asText(),
                node.path("fence").asLong(),
                node.path("loading").asBoolean());
    }

    private static Map<String, String> textFields(JsonNode node) {
        Map<String, String> texts = new TreeMap<>();
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            texts.put(field.getKey(), field.getValue().asText());
        }
        return texts;
    }
}
