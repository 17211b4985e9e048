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

/** The command interface of an engine over HTTP. */
public final class HttpEngineCommands implements EngineCommands {
    private final HttpCaller caller;

    /**
     * Creates a client.
     *
     * @param io the shared I/O thread, not null
     * @param address the address of the engine, not null
     * @param policy the time limits, not null
     */
    public HttpEngineCommands(PlatformIo io, InetSocketAddress address, CallPolicy policy) {
        caller = new HttpCaller(
                Arguments.notNull(io, "io"),
                Arguments.notNull(address, "address"),
                Arguments.notNull(policy, "policy"));
    }

    @Override
    public CompletionStage<EngineCommandReply> execute(EngineCommand command) {
        String body = Json.text(fields(Arguments.notNull(command, "command")));
        return caller.call(new HttpCall("POST", "/orders", body, true, false, "", 0))
                .thenApply(HttpEngineCommands::reply);
    }

    @Override
    public CompletionStage<Optional<ActualEngineState>> readState() {
        return caller.call(HttpCall.get("/state")).thenApply(outcome -> {
            JsonNode node = Json.bodyOf(outcome);
            return node.isObject() ? Optional.of(actual(node)) : Optional.empty();
        });
    }

    private static Map<String, Object> fields(EngineCommand command) {
        if (command instanceof EngineCommand.LoadModel load) {
            return order(command, "load_model", load.model(), load.version());
        }
        if (command instanceof EngineCommand.LoadAdapter load) {
            return order(command, "load_adapter", load.adapter(), load.version());
        }
        if (command instanceof EngineCommand.UnloadModel unload) {
            return order(command, "unload_model", unload.model(), "");
        }
        if (command instanceof EngineCommand.UnloadAdapter unload) {
            return order(command, "unload_adapter", unload.adapter(), "");
        }
        return order(command, "change_role", ((EngineCommand.ChangeRole) command).role(), "");
    }

    private static Map<String, Object> order(EngineCommand command, String kind, String name, String version) {
        Map<String, Object> node = new LinkedHashMap<>();
        node.put("fence", command.fence());
        node.put("kind", kind);
        node.put("name", name);
        node.put("version", version);
        return node;
    }

    private static EngineCommandReply reply(HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered answered)) {
            return new EngineCommandReply.NoAnswer();
        }
        return switch (answered.status()) {
            case 200 -> new EngineCommandReply.Accepted(actual(Json.bodyOf(outcome)));
            case 409 ->
                new EngineCommandReply.StaleFence(
                        Json.read(answered.body()).path("fence").asLong());
            default -> new EngineCommandReply.Refused();
        };
    }

    private static ActualEngineState actual(JsonNode node) {
        return new ActualEngineState(
                texts(node.path("models")),
                texts(node.path("adapters")),
                node.path("role").asText(),
                node.path("fence").asLong(),
                node.path("loading").asBoolean());
    }

    private static Map<String, String> texts(JsonNode node) {
        Map<String, String> texts = new TreeMap<>();
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            texts.put(field.getKey(), field.getValue().asText());
        }
        return texts;
    }
}
