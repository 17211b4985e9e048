package io.hornbeamscale.daemon.explain;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How far the clocks of processes are apart. Every process logs the store's changes with their revision shortly after
 * they happened, so the median difference over the revisions that two processes share is the difference of their
 * clocks.
 */
final class ClockOffsets {
    /** Fewer shared revisions say too little, since a process may have learned one of them late. */
    private static final int MIN_SHARED = 3;

    private ClockOffsets() {}

    /**
     * Compares clocks with the clock of one process.
     *
     * @param lines the lines of all processes, not null
     * @param reference the process whose clock counts, not null
     * @return by process, what must be added to its times, in milliseconds; processes that cannot be compared are
     *     missing
     */
    static Map<String, Long> toClockOf(List<LogLine> lines, String reference) {
        Map<String, Map<String, Long>> seen = new TreeMap<>();
        for (LogLine line : lines) {
            if (line.event().equals("server") && !line.field("revision").isEmpty()) {
                String change = line.field("server") + " " + line.field("revision") + " " + line.field("state");
                seen.computeIfAbsent(line.process(), k -> new HashMap<>()).putIfAbsent(change, line.timeMillis());
            }
        }
        Map<String, Long> known = seen.getOrDefault(reference, Map.of());
        Map<String, Long> offsets = new TreeMap<>();
        for (Map.Entry<String, Map<String, Long>> process : seen.entrySet()) {
            List<Long> differences = new ArrayList<>();
            process.getValue().forEach((change, time) -> {
                if (known.containsKey(change)) {
                    differences.add(known.get(change) - time);
                }
            });
            if (differences.size() >= MIN_SHARED) {
                Collections.sort(differences);
                offsets.put(process.getKey(), differences.get(differences.size() / 2));
            }
        }
        return offsets;
    }
}
