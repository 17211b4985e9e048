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

/** An agent's record of the generations that were in flight when its engine crashed. Used on the control thread. */
final class CrashReports {
    private static final char SEPARATOR = ' ';

    private final CrashReporter log;
    private final Set<GenerationId> inFlight = new HashSet<>();

    CrashReports(BackendId backend, long incarnation) {
        log = new CrashReporter(backend, incarnation);
    }

    void started(AgentAction.StartCall start, long nowMillis) {
        if (inFlight.add(start.generation())) {
            RequestFingerprint fingerprint = RequestFingerprint.of(
                    start.work().customer(), start.call().body().bytes());
            log.started(key(start.generation()), fingerprint, nowMillis);
        }
    }

    void ended(GenerationId generation, long nowMillis) {
        if (inFlight.remove(generation)) {
            log.ended(key(generation), nowMillis);
        }
    }

    /**
     * Notes that the engine no longer has a generation that it was running. Only the first loss after a crash counts:
     * generations that the restarted engine runs by then were not in flight at the crash. The consumer is told the
     * time of a loss that counts.
     */
    void lost(GenerationId generation, long nowMillis, LongConsumer onCrash) {
        if (inFlight.contains(generation)) {
            inFlight.clear();
            log.crashed(nowMillis).ifPresent(report -> onCrash.accept(nowMillis));
        }
    }

    /** Returns the recent crashes for a status message, one text for each request in flight. */
    List<String> texts(long nowMillis) {
        List<String> texts = new ArrayList<>();
        for (CrashReport report : log.recent(nowMillis)) {
            report.inFlight().forEach(f -> texts.add(report.crashId() + SEPARATOR + f.digest()));
        }
        return texts;
    }

    /** Reads the crashes in a status message; texts of another form are ignored. */
    static List<CrashReport> read(List<String> texts) {
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
