package io.hornbeamscale.daemon.explain;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Estimates the offsets between the clocks of processes. Every process logs the store's changes with their revision
 * shortly after they happened, so the median of the time differences over the revisions that two processes share
 * approximates the offset between their clocks.
 */
final class ClockOffsets {
    /** The least number of shared revisions; with fewer, one that a process learned late would distort the median. */
    private static final int MIN_SHARED_REVISIONS = 3;

    private ClockOffsets() {}

    /**
     * Estimates the offsets to the clock of one process.
     *
     * @param lines the lines of all processes, not null
     * @param reference the process whose clock is the reference, not null
     * @return by process, the offset to add to its times, in milliseconds; processes with too few shared revisions are
     *     missing
     */
    static Map<String, Long> toClockOf(List<LogLine> lines, String reference) {
        Map<String, Map<String, Long>> changeTimes = new TreeMap<>();
        for (LogLine line : lines) {
            if (line.event().equals("server") && !line.field("revision").isEmpty()) {
                String change = line.field("server") + " " + line.field("revision") + " " + line.field("state");
                changeTimes
                        .computeIfAbsent(line.process(), k -> new HashMap<>())
                        .putIfAbsent(change, line.timeMillis());
            }
        }
        Map<String, Long> referenceTimes = changeTimes.getOrDefault(reference, Map.of());
        Map<String, Long> offsets = new TreeMap<>();
        for (Map.Entry<String, Map<String, Long>> process : changeTimes.entrySet()) {
            List<Long> differences = new ArrayList<>();
            process.getValue().forEach((change, time) -> {
                if (referenceTimes.containsKey(change)) {
                    differences.add(referenceTimes.get(change) - time);
                }
            });
            if (differences.size() >= MIN_SHARED_REVISIONS) {
                Collections.sort(differences);
                offsets.put(process.getKey(), differences.get(differences.size() / 2));
            }
        }
        return offsets;
    }
}
