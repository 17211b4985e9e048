package io.hornbeamscale.daemon.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state of the control plane, as the status page shows it.
 *
 * @param version the version in force, 0 for none
 * @param newestKnown the highest version that this node knows of, which may not have arrived yet
 * @param isWatcher whether this node watches the store for its region
 * @param problem why the node may lag behind the store, empty if no problem is known
 * @param entries the last reported version of each other entry, by node
 * @param agents the last reported version of each connected agent, by node
 * @param peerConnections the number of connections with other entries, in both directions
 */
public record ControlPlaneStatus(
        long version,
        long newestKnown,
        boolean isWatcher,
        String problem,
        Map<String, Long> entries,
        Map<String, Long> agents,
        int peerConnections) {
    /** The state before the first tick. */
    public static final ControlPlaneStatus NONE =
            new ControlPlaneStatus(0, 0, false, "the node is starting", Map.of(), Map.of(), 0);

    /** Copies the maps. */
    public ControlPlaneStatus {
        entries = Map.copyOf(entries);
        agents = Map.copyOf(agents);
    }

    /**
     * Returns the state of an agent.
     *
     * @param version the version in force, 0 for none
     * @param newestKnown the highest version that an entry has announced
     * @return the state, never null
     */
    public static ControlPlaneStatus ofAgent(long version, long newestKnown) {
        String problem = newestKnown > version ? "version " + newestKnown + " has not arrived" : "";
        return new ControlPlaneStatus(version, newestKnown, false, problem, Map.of(), Map.of(), 0);
    }

    /**
     * Returns the state by field name.
     *
     * @return the fields in the order of the page, never null
     */
    public Map<String, Object> fields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("config_version", version);
        fields.put("newest_version", newestKnown);
        fields.put("watches_store", isWatcher);
        fields.put("problem", problem);
        fields.put("entry_versions", new TreeMap<>(entries));
        fields.put("agent_versions", new TreeMap<>(agents));
        fields.put("peer_connections", peerConnections);
        return fields;
    }
}
