package io.hornbeamscale.core.fleet;

import io.hornbeamscale.core.blackboard.BlackboardKey;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** All backend servers known to an entry at one time. Immutable. */
public final class FleetSnapshot {
    /** The blackboard key of the current snapshot. */
    public static final BlackboardKey<FleetSnapshot> KEY = new BlackboardKey<>("fleet", FleetSnapshot.class);

    /** The snapshot without servers. */
    public static final FleetSnapshot EMPTY = new FleetSnapshot(List.of());

    private final Map<String, FleetServer> byId;
    private final Map<String, List<FleetServer>> readyByService;
    private final Set<String> evacuatedZones;

    /**
     * Creates a snapshot without evacuated zones.
     *
     * @param servers the servers, with distinct ids, not null
     */
    public FleetSnapshot(Collection<FleetServer> servers) {
        this(servers, Set.of());
    }

    /**
     * Creates a snapshot.
     *
     * @param servers the servers, with distinct ids, not null
     * @param evacuatedZones the availability zones whose servers get no requests, not null
     */
    public FleetSnapshot(Collection<FleetServer> servers, Set<String> evacuatedZones) {
        this.evacuatedZones = Set.copyOf(evacuatedZones);
        Map<String, FleetServer> ids = new HashMap<>();
        Map<String, List<FleetServer>> ready = new HashMap<>();
        for (FleetServer server : servers) {
            ids.put(server.id(), server);
            if (server.isReady()) {
                ready.computeIfAbsent(server.registration().service(), k -> new ArrayList<>())
                        .add(server);
            }
        }
        ready.replaceAll((service, list) ->
                list.stream().sorted(Comparator.comparing(FleetServer::id)).toList());
        byId = Map.copyOf(ids);
        readyByService = Map.copyOf(ready);
    }

    /**
     * Returns the servers of a service that take requests.
     *
     * @param service the name of the service, not null
     * @return the servers in the order of their ids, never null
     */
    public List<FleetServer> ready(String service) {
        return readyByService.getOrDefault(service, List.of());
    }

    /**
     * Returns the availability zones that the operators have evacuated.
     *
     * @return the names of the zones, never null
     */
    public Set<String> evacuatedZones() {
        return evacuatedZones;
    }

    /**
     * Finds a server.
     *
     * @param id the id, not null
     * @return the server, empty if the id is unknown
     */
    public Optional<FleetServer> server(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * Returns all servers.
     *
     * @return the servers, in no particular order, never null
     */
    public Collection<FleetServer> all() {
        return byId.values();
    }
}
