package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.util.Arguments;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the load of backend servers: the exact load that this entry has placed, plus the last report of every other
 * entry. Not safe for use by several threads.
 */
public final class LoadTracker {
    /**
     * How long the report of another entry is valid, in milliseconds. An entry without a newer report has ended, and
     * its requests with it.
     */
    static final long PEER_LOAD_TTL_MILLIS = 3_000;

    private final Map<String, ServerLoad> own = new HashMap<>();
    private final Map<String, PeerLoads> peers = new HashMap<>();

    /**
     * Adds a request that this entry sends to a server.
     *
     * @param server the id of the server, not null
     * @param load the load of the request, not null
     */
    public void add(String server, ServerLoad load) {
        own.merge(Arguments.notNull(server, "server"), load, ServerLoad::plus);
    }

    /**
     * Removes a load that was added before. Does nothing if the server has no load of this entry.
     *
     * @param server the id of the server, not null
     * @param load the load, not null
     */
    public void remove(String server, ServerLoad load) {
        own.computeIfPresent(server, (id, present) -> {
            ServerLoad rest = present.minus(load);
            return rest.equals(ServerLoad.NONE) ? null : rest;
        });
    }

    /**
     * Replaces a load that was added before.
     *
     * @param server the id of the server, not null
     * @param before the load to replace, not null
     * @param after the new load, not null
     */
    public void replace(String server, ServerLoad before, ServerLoad after) {
        own.computeIfPresent(server, (id, present) -> present.minus(before).plus(after));
    }

    /**
     * Replaces the reported load of another entry.
     *
     * @param peer the name of the entry, not null
     * @param loads the load that it has placed, by server id, not null
     * @param nowMillis the present time
     * @return whether some server has less of any load than in the report before, so that room may have become free
     */
    public boolean peerReported(String peer, Map<String, ServerLoad> loads, long nowMillis) {
        PeerLoads before = peers.put(peer, new PeerLoads(Map.copyOf(loads), nowMillis));
        return before != null
                && before.loads.entrySet().stream()
                        .anyMatch(e ->
                                loads.getOrDefault(e.getKey(), ServerLoad.NONE).isAnyLess(e.getValue()));
    }

    /**
     * Returns the load that this entry has placed.
     *
     * @return a copy of the load by server id, never null
     */
    public Map<String, ServerLoad> own() {
        return Map.copyOf(own);
    }

    /**
     * Returns the load that all entries have placed on a server.
     *
     * @param server the id of the server, not null
     * @param nowMillis the present time
     * @return the load, never null
     */
    public ServerLoad of(String server, long nowMillis) {
        ServerLoad sum = own.getOrDefault(server, ServerLoad.NONE);
        for (PeerLoads peer : peers.values()) {
            if (nowMillis - peer.reportedAtMillis > PEER_LOAD_TTL_MILLIS) {
                continue;
            }
            ServerLoad load = peer.loads.get(server);
            if (load != null) {
                sum = sum.plus(load);
            }
        }
        return sum;
    }

    private record PeerLoads(Map<String, ServerLoad> loads, long reportedAtMillis) {}
}
