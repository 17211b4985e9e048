package io.hornbeamscale.daemon;

import io.hornbeamscale.core.agent.AgentAction;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.quarantine.CrashReport;
import io.hornbeamscale.core.quarantine.CrashReporter;
import io.hornbeamscale.core.quarantine.RequestFingerprint;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * Tracks the generations that an agent's engine runs, and reports those that were in flight at a crash. Used on the
 * control thread.
 */
final class CrashTracker {
    private static final char SEPARATOR = ' ';

    private final CrashReporter reporter;
    private final Set<GenerationId> inFlight = new HashSet<>();

    CrashTracker(BackendId backend, long incarnation) {
        reporter = new CrashReporter(backend, incarnation);
    }

    void started(AgentAction.StartCall start, long nowMillis) {
        if (inFlight.add(start.generation())) {
            RequestFingerprint fingerprint = RequestFingerprint.of(
                    start.work().customer(), start.call().body().bytes());
            reporter.started(key(start.generation()), fingerprint, nowMillis);
        }
    }

    void ended(GenerationId generation, long nowMillis) {
        if (inFlight.remove(generation)) {
            reporter.ended(key(generation), nowMillis);
        }
    }

    /**
     * Records that the engine no longer has a generation that it was running. Only the first loss after a crash is
     * reported as a crash: generations that the restarted engine runs by then were not in flight at the crash.
     *
     * @param generation the lost generation
     * @param nowMillis the present time
     * @param onCrash receives the present time if the loss is reported as a crash
     */
    void generationLost(GenerationId generation, long nowMillis, LongConsumer onCrash) {
        if (inFlight.contains(generation)) {
            inFlight.clear();
            reporter.crashed(nowMillis).ifPresent(report -> onCrash.accept(nowMillis));
        }
    }

    /** Encodes the recent crashes for a status message, one text for each request that was in flight. */
    List<String> encodeRecent(long nowMillis) {
        List<String> texts = new ArrayList<>();
        for (CrashReport report : reporter.recent(nowMillis)) {
            report.inFlight().forEach(f -> texts.add(report.crashId() + SEPARATOR + f.digest()));
        }
        return texts;
    }

    /** Decodes the crashes in a status message; malformed texts are ignored. */
    static List<CrashReport> decode(List<String> texts) {
        Map<String, Set<RequestFingerprint>> crashes = new LinkedHashMap<>();
        for (String text : texts) {
            int split = text.indexOf(SEPARATOR);
            if (split > 0 && split < text.length() - 1) {
                crashes.computeIfAbsent(text.substring(0, split), k -> new HashSet<>())
                        .add(new RequestFingerprint(text.substring(split + 1)));
            }
        }
        return crashes.entrySet().stream()
                .map(e -> new CrashReport(e.getKey(), e.getValue()))
                .toList();
    }

    private static AttemptId key(GenerationId generation) {
        return new AttemptId(new RequestId(generation.toString()), 1);
    }
}
