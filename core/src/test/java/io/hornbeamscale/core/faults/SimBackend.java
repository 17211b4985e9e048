package io.hornbeamscale.core.faults;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Simulates the engine and the plain service of an agent. Both keep running when the agent fails. */
final class SimBackend {
    private static final long TOKEN_MILLIS = 15;

    final Map<GenerationId, Stream> streams = new LinkedHashMap<>();
    private final FaultSimulation sim;
    private final SimAgent agent;

    SimBackend(FaultSimulation sim, SimAgent agent) {
        this.sim = sim;
        this.agent = agent;
    }

    void startStream(GenerationId generation, AttemptId attempt, SimMessage.Call call) {
        sim.executed(attempt.request(), null, agent);
        Stream stream = new Stream(generation, call, 2 + sim.random.nextInt(9));
        sim.invariants.generationStarted(generation, call.body(), stream.total);
        streams.put(generation, stream);
        sim.after(TOKEN_MILLIS, () -> emit(stream));
        if (call.isPoison()) {
            sim.statistics.count(FaultKind.POISON_REQUEST);
            sim.after(2 * TOKEN_MILLIS, () -> {
                if (streams.get(generation) == stream) {
                    sim.crashed(call.body());
                    crash();
                }
            });
        }
    }

    void startPlain(AttemptId attempt, GrantId grant, SimMessage.Call call) {
        String onceKey = call.kind() == CallKind.KEYED ? "key " + call.key() : null;
        if (call.kind() == CallKind.UNKEYED) {
            onceKey = "request " + attempt.request();
        }
        sim.executed(attempt.request(), onceKey, agent);
        long incarnation = agent.incarnation;
        sim.after(
                5 + sim.random.nextInt(60),
                () -> agent.run(incarnation, () -> agent.plainEnded(attempt, grant, response(call))));
    }

    static String response(SimMessage.Call call) {
        return "response to " + call.body();
    }

    void crash() {
        List<GenerationId> lost = new ArrayList<>();
        streams.values().removeIf(stream -> {
            boolean isRunning = stream.emitted < stream.total;
            if (isRunning) {
                stream.isLost = true;
                lost.add(stream.id);
            }
            return isRunning;
        });
        agent.run(agent.incarnation, () -> agent.engineFailed(lost));
    }

    void cancel(GenerationId generation) {
        Stream stream = streams.remove(generation);
        if (stream != null) {
            stream.isLost = true;
        }
    }

    int running() {
        return (int) streams.values().stream()
                .filter(stream -> stream.emitted < stream.total)
                .count();
    }

    void replay(GenerationId generation, long offset) {
        Stream stream = streams.get(generation);
        if (stream != null) {
            report(stream, (int) offset);
        }
    }

    private void emit(Stream stream) {
        if (stream.isLost || stream.emitted >= stream.total) {
            return;
        }
        int from = stream.emitted;
        stream.emitted = Math.min(stream.total, from + 1 + sim.random.nextInt(3));
        report(stream, from);
        sim.after(TOKEN_MILLIS, () -> emit(stream));
    }

    private void report(Stream stream, int from) {
        List<String> texts = new ArrayList<>();
        for (int i = from; i < stream.emitted; i++) {
            texts.add(InvariantChecker.token(stream.id, i));
        }
        boolean isEnded = stream.emitted == stream.total;
        agent.run(agent.incarnation, () -> agent.engineTokens(stream.id, from, texts, isEnded ? stream.total : -1));
    }

    static final class Stream {
        final GenerationId id;
        final SimMessage.Call call;
        final int total;
        int emitted;
        boolean isLost;

        Stream(GenerationId id, SimMessage.Call call, int total) {
            this.id = id;
            this.call = call;
            this.total = total;
        }
    }
}
