package io.hornbeamscale.gateway;

import io.hornbeamscale.core.placement.ServerLoad;
import io.hornbeamscale.wire.message.EntryStatusMessage.BackendLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The part of the status messages that is about backend servers. The speed of a server is included only if it is new,
 * since the messages go to every entry. Runs on the control thread.
 */
final class StatusLoads {
    /** The relative change of the estimated time per event from which on it is sent to the other entries again. */
    private static final double MIN_PACE_CHANGE = 0.05;

    private static final double MICROS_PER_MILLI = 1_000;

    private final Map<String, Long> sentEventMicros = new HashMap<>();
    private final Map<String, Integer> sentWorkPercents = new HashMap<>();

    /**
     * Returns what the next message contains.
     *
     * @param own the load that this entry has placed, by server id
     * @param pace the estimated times per event, in milliseconds, by server id
     * @param workPercents the lowest stated times of work, in percent of the usual time, by server id
     */
    List<BackendLoad> next(Map<String, ServerLoad> own, Map<String, Double> pace, Map<String, Integer> workPercents) {
        Set<String> servers = new TreeSet<>(own.keySet());
        servers.addAll(pace.keySet());
        servers.addAll(workPercents.keySet());
        List<BackendLoad> loads = new ArrayList<>();
        for (String id : servers) {
            ServerLoad load = own.getOrDefault(id, ServerLoad.NONE);
            long eventMicros = Math.round(pace.getOrDefault(id, 0.0) * MICROS_PER_MILLI);
            long sentMicros = sentEventMicros.getOrDefault(id, 0L);
            boolean isPaceNew = Math.abs(eventMicros - sentMicros) > MIN_PACE_CHANGE * sentMicros;
            int workPercent = workPercents.getOrDefault(id, 0);
            boolean isWorkPercentNew = workPercent != sentWorkPercents.getOrDefault(id, 0);
            if (load.equals(ServerLoad.NONE) && !isPaceNew && !isWorkPercentNew) {
                continue;
            }
            if (isPaceNew) {
                sentEventMicros.put(id, eventMicros);
            }
            if (isWorkPercentNew) {
                sentWorkPercents.put(id, workPercent);
            }
            loads.add(new BackendLoad(
                    id,
                    load.requests(),
                    load.tokens(),
                    load.prefillTokens(),
                    load.usedTokens(),
                    eventMicros,
                    isWorkPercentNew ? workPercent : 0));
        }
        sentEventMicros.keySet().retainAll(pace.keySet());
        sentWorkPercents.keySet().retainAll(workPercents.keySet());
        return loads;
    }
}
