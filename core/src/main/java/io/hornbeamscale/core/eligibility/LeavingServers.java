package io.hornbeamscale.core.eligibility;

import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.fleet.ServerRegistration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * The incarnations of servers that have announced in a response that they leave. The announcement holds for that
 * incarnation: a registration of the same incarnation may have been written before the announcement and arrive after
 * it. The clock of a server may be set back between two starts, so start times have no order. Not safe for use by
 * several threads.
 */
final class LeavingServers {
    /** How many incarnations are kept for a server; a late response is of one of the last ones. */
    private static final int MAX_INCARNATIONS = 8;

    private final Map<String, Deque<ServerRegistration>> announced = new HashMap<>();

    /** Records an announcement. Returns whether it is new; one of an earlier incarnation may arrive late. */
    boolean announced(FleetServer server) {
        if (isLeaving(server)) {
            return false;
        }
        Deque<ServerRegistration> known = announced.computeIfAbsent(server.id(), id -> new ArrayDeque<>());
        known.add(server.registration());
        if (known.size() > MAX_INCARNATIONS) {
            known.remove();
        }
        return true;
    }

    boolean isLeaving(FleetServer server) {
        Deque<ServerRegistration> known = announced.get(server.id());
        return known != null && known.stream().anyMatch(server.registration()::isSameIncarnation);
    }

    void forget(String server) {
        announced.remove(server);
    }
}
