package io.hornbeamscale.core.eligibility;

import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.fleet.ServerRegistration;
import java.util.HashMap;
import java.util.Map;

/**
 * The incarnations of servers that have announced in a response that they leave. The announcement holds until the
 * server is known to have started again: a registration of the same incarnation may have been written before the
 * announcement and arrive after it. Not safe for use by several threads.
 */
final class LeavingServers {
    private final Map<String, ServerRegistration> announced = new HashMap<>();

    /** Records an announcement. Returns whether it is new; one of an earlier incarnation may arrive late. */
    boolean announced(FleetServer server) {
        ServerRegistration found = server.registration();
        ServerRegistration before = announced.get(server.id());
        boolean isKnown = before != null && (found.isSameIncarnation(before) || found.isOlderThan(before));
        if (!isKnown) {
            announced.put(server.id(), found);
        }
        return !isKnown;
    }

    boolean isLeaving(FleetServer server) {
        return server.registration().isSameIncarnation(announced.get(server.id()));
    }

    void forget(String server) {
        announced.remove(server);
    }
}
