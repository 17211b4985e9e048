package io.hornbeamscale.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamscale.core.agent.AgentAction;
import io.hornbeamscale.core.agent.AgentController;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.work.Payload;
import io.hornbeamscale.gateway.ControlLoop;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.XnioWorker;

/**
 * The calls that an agent has running on its backend server. Methods are called on the control thread, but for those of
 * {@link EngineCallListener}, which pass the events of a call to it.
 */
final class BackendCalls implements EngineCallListener {
    private static final Logger LOG = LogManager.getLogger("agent");
    private static final int MAX_REATTACHES = 3;
    private static final char TAG_SEPARATOR = '~';

    private final AgentSettings settings;
    private final BackendId backend;
    private final ControlLoop control;
    private final AgentController controller;
    private final CrashTracker crashes;
    private final Consumer<List<AgentAction>> carryOut;
    private final LongConsumer sendStatus;
    private final EngineClient engine;
    private final Map<GenerationId, CallState> calls = new LinkedHashMap<>();

    /**
     * Creates an object without calls.
     *
     * @param settings the settings of the agent
     * @param worker runs the connections to the backend server
     * @param control the control thread
     * @param controller decides what the events of calls lead to
     * @param crashes receives which generations were in flight at a crash
     * @param carryOut carries out what the controller decides
     * @param sendStatus sends the status of the agent to all entries; its argument is the present time
     */
    BackendCalls(
            AgentSettings settings,
            XnioWorker worker,
            ControlLoop control,
            AgentController controller,
            CrashTracker crashes,
            Consumer<List<AgentAction>> carryOut,
            LongConsumer sendStatus) {
        this.settings = settings;
        this.backend = new BackendId(settings.backend());
        this.control = control;
        this.controller = controller;
        this.crashes = crashes;
        this.carryOut = carryOut;
        this.sendStatus = sendStatus;
        this.engine = new EngineClient(settings.server(), worker, this);
    }

    /** Starts a call. */
    void start(AgentAction.StartCall a) {
        boolean isModel = !a.work().isPlain();
        CallState state = new CallState(a.work().isRepeatable(), null);
        state.requestTag = a.generation().toString() + TAG_SEPARATOR + a.work().customer();
        calls.put(a.generation(), state);
        if (isModel) {
            crashes.started(a, ControlLoop.now());
            engine.startGeneration(a.generation(), state.requestTag, a.call());
        } else {
            engine.startPlainCall(a.generation(), a.call());
        }
    }

    /** Aborts a call, if it is running. */
    void cancel(GenerationId generation) {
        crashes.ended(generation, ControlLoop.now());
        CallState state = calls.remove(generation);
        engine.cancel(generation, state == null ? null : state.engineId);
    }

    /** Reads the output of a stream again, from a token on. */
    void reattach(GenerationId generation, long offset) {
        CallState state = calls.get(generation);
        if (state != null && state.engineId != null) {
            engine.reattach(generation, state.engineId, offset);
        }
    }

    /** Reads the load of the engine. */
    void readLoad() {
        engine.getJson("/load", node -> control.execute(() -> engineLoadRead(node)));
    }

    private void engineLoadRead(JsonNode node) {
        if (node == null) {
            return;
        }
        long now = ControlLoop.now();
        carryOut.accept(controller.load(EngineLoadReader.read(node, now), now));
    }

    /** Recovers the streams of an earlier incarnation that the engine still runs. */
    void recoverStreams() {
        engine.getJson(
                "/v1/streams",
                node -> control.execute(() -> {
                    long now = ControlLoop.now();
                    if (node != null) {
                        node.path("streams").forEach(stream -> streamFound(stream, now));
                    }
                    carryOut.accept(controller.rebuildCompleted(now));
                }));
    }

    private void streamFound(JsonNode stream, long now) {
        String tag = stream.path("request_id").asText();
        int split = tag.indexOf(TAG_SEPARATOR);
        if (split < 0) {
            return;
        }
        try {
            GenerationId generation = GenerationId.parse(tag.substring(0, split));
            if (generation.backend().equals(backend) && !calls.containsKey(generation)) {
                calls.put(generation, new CallState(true, stream.path("id").asText()));
                carryOut.accept(
                        controller.engineStreamFound(generation, new CustomerId(tag.substring(split + 1)), now));
            }
        } catch (IllegalArgumentException e) {
            LOG.warn("The engine runs a stream with a malformed request id: {}.", tag);
        }
    }

    @Override
    public void backendNotReached(GenerationId generation) {
        control.execute(() -> {
            CallState state = calls.get(generation);
            if (state != null && state.engineId != null) {
                reattach(generation, state, Failure.BROKEN_OFF, "the engine does not accept connections");
            } else {
                calls.remove(generation);
                crashes.ended(generation, ControlLoop.now());
                carryOut.accept(controller.backendNotReached(generation, ControlLoop.now()));
            }
        });
    }

    @Override
    public void accepted(GenerationId generation, String engineId) {
        control.execute(() -> {
            CallState state = calls.get(generation);
            if (state == null) {
                engine.cancel(generation, engineId);
            } else {
                state.engineId = engineId;
            }
        });
    }

    @Override
    public void tokens(GenerationId generation, long offset, List<String> texts) {
        control.execute(() -> {
            CallState state = calls.get(generation);
            if (state != null) {
                state.emitted = Math.max(state.emitted, offset + texts.size());
                state.reattaches = 0;
                carryOut.accept(controller.engineTokens(generation, offset, texts, ControlLoop.now()));
            }
        });
    }

    @Override
    public void ended(GenerationId generation, long totalTokens, String finishReason) {
        control.execute(() -> {
            calls.remove(generation);
            crashes.ended(generation, ControlLoop.now());
            carryOut.accept(controller.engineEnded(generation, totalTokens, finishReason, ControlLoop.now()));
        });
    }

    @Override
    public void answered(GenerationId generation, int status, Map<String, String> headers, Payload body) {
        control.execute(() -> {
            calls.remove(generation);
            long now = ControlLoop.now();
            if (EngineErrors.outcomeOf(status, headers) == RunOutcome.UNKNOWN) {
                LOG.warn("Call {} ended with status {}; it may have run.", generation, status);
                carryOut.accept(
                        controller.backendFailed(generation, ErrorKind.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN, now));
                return;
            }
            Map<String, String> filtered = HeaderFilter.filterResponse(headers);
            carryOut.accept(controller.backendAnswered(generation, status, filtered, body, now));
        });
    }

    @Override
    public void refused(GenerationId generation, int status, Map<String, String> headers) {
        control.execute(() -> {
            CallState state = calls.remove(generation);
            crashes.ended(generation, ControlLoop.now());
            boolean isReattached = state != null && state.engineId != null;
            RunOutcome outcome = isReattached ? RunOutcome.RAN : EngineErrors.outcomeOf(status, headers);
            ErrorKind kind = isReattached ? ErrorKind.GENERATION_LOST : EngineErrors.kindOf(status, outcome);
            LOG.warn("The engine rejected {} with status {}.", generation, status);
            carryOut.accept(controller.backendFailed(generation, kind, outcome, ControlLoop.now()));
        });
    }

    @Override
    public void failed(GenerationId generation, Failure failure, String reason) {
        control.execute(() -> {
            CallState state = calls.get(generation);
            if (state == null) {
                return;
            }
            if (settings.isPlain()) {
                calls.remove(generation);
                ErrorKind kind = state.isRepeatable ? ErrorKind.BACKEND_FAILED : ErrorKind.OUTCOME_UNKNOWN;
                LOG.warn("Call {} failed: {}.", generation, reason);
                carryOut.accept(controller.backendFailed(generation, kind, RunOutcome.UNKNOWN, ControlLoop.now()));
            } else {
                reattach(generation, state, failure, reason);
            }
        });
    }

    private void reattach(GenerationId generation, CallState state, Failure failure, String reason) {
        state.reattaches++;
        state.isMalformed = failure == Failure.MALFORMED;
        LOG.warn("Stream of {} failed: {}; reattach attempt {}.", generation, reason, state.reattaches);
        if (state.reattaches > MAX_REATTACHES) {
            generationLost(generation, state);
        } else if (state.engineId != null) {
            engine.reattach(generation, state.engineId, state.emitted);
        } else {
            engine.getJson("/v1/streams", node -> control.execute(() -> reattachByTag(generation, state, node)));
        }
    }

    private void reattachByTag(GenerationId generation, CallState state, JsonNode node) {
        if (node != null) {
            for (JsonNode stream : node.path("streams")) {
                if (stream.path("request_id").asText().equals(state.requestTag)) {
                    state.engineId = stream.path("id").asText();
                    engine.reattach(generation, state.engineId, state.emitted);
                    return;
                }
            }
        }
        generationLost(generation, state);
    }

    private void generationLost(GenerationId generation, CallState state) {
        calls.remove(generation);
        if (state.isMalformed) {
            // The engine has not crashed, so no request is suspected of it.
            crashes.ended(generation, ControlLoop.now());
        } else {
            // Entries must learn of the suspect requests before they retry the lost ones elsewhere.
            crashes.generationLost(generation, ControlLoop.now(), sendStatus);
        }
        ErrorKind kind = state.emitted > 0 ? ErrorKind.GENERATION_LOST : ErrorKind.BACKEND_FAILED;
        RunOutcome outcome = state.emitted > 0 ? RunOutcome.RAN : RunOutcome.UNKNOWN;
        carryOut.accept(controller.backendFailed(generation, kind, outcome, ControlLoop.now()));
    }
}
