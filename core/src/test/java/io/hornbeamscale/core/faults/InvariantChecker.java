package io.hornbeamscale.core.faults;

import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.RequestId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Records observable steps of a simulation and checks the invariants after each of them. */
final class InvariantChecker {
    final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> executionsByOnceKey = new HashMap<>();
    private final Map<String, Integer> totalByGeneration = new HashMap<>();
    private final Map<String, String> bodyByGeneration = new HashMap<>();
    private final Set<RequestId> executed = new HashSet<>();
    private final Set<RequestId> notRun = new HashSet<>();
    private final Map<String, Long> highestFence = new HashMap<>();

    /** Records that a backend server starts to execute a request. */
    void executed(RequestId request, String onceKey, boolean isDraining, String backend) {
        executed.add(request);
        if (notRun.contains(request)) {
            violate("NOT_RUN", request + " executed after not_run");
        }
        if (onceKey != null && executionsByOnceKey.merge(onceKey, 1, Integer::sum) > 1) {
            violate("AT_MOST_ONCE", onceKey + " executed twice");
        }
        if (isDraining) {
            violate("DRAIN", backend + " received new work");
        }
    }

    void outcomeReported(RequestId request, RunOutcome outcome) {
        if (outcome != RunOutcome.NOT_RUN) {
            return;
        }
        notRun.add(request);
        if (executed.contains(request)) {
            violate("NOT_RUN", request + " reported as not_run after its execution");
        }
    }

    void generationStarted(GenerationId generation, String body, int total) {
        bodyByGeneration.put(generation.toString(), body);
        totalByGeneration.put(generation.toString(), total);
    }

    static String token(GenerationId generation, int index) {
        return generation + "#" + index;
    }

    /**
     * Checks that the tokens received by a caller are a prefix of a single generation of its own request, or the whole
     * generation at the end of the response.
     */
    void received(String body, List<String> tokens, int from, boolean isEnd) {
        for (int i = from; i < tokens.size(); i++) {
            String first = tokens.get(0);
            String generation = first.substring(0, first.indexOf('#'));
            if (!tokens.get(i).equals(generation + "#" + i)) {
                violate("STREAM", "token " + i + " is " + tokens.get(i) + " of a stream that began with " + first);
                return;
            }
            if (!body.equals(bodyByGeneration.get(generation))) {
                violate("RESPONSE", body + " received the output of " + bodyByGeneration.get(generation));
            }
        }
        if (isEnd && !tokens.isEmpty()) {
            String generation = tokens.get(0).substring(0, tokens.get(0).indexOf('#'));
            if (tokens.size() != totalByGeneration.get(generation)) {
                violate("STREAM", "ended after " + tokens.size() + " of " + totalByGeneration.get(generation));
            }
        } else if (isEnd) {
            violate("STREAM", "empty response to " + body);
        }
    }

    void response(String expected, String found) {
        if (!expected.equals(found)) {
            violate("RESPONSE", expected + " expected, " + found + " received");
        }
    }

    void stoppedEarly(String what) {
        violate("GRACEFUL_STOP", what);
    }

    void quarantinedExecuted(String what) {
        violate("QUARANTINE", what);
    }

    void commandExecuted(String backend, long fence) {
        if (highestFence.merge(backend, fence, Math::max) > fence) {
            violate("FENCE", backend + " executed a command of fence " + fence + " after a higher one");
        }
    }

    void neverEnded(String what) {
        violate("ENDS", what);
    }

    private void violate(String invariant, String detail) {
        violations.add(invariant + ": " + detail);
    }
}
