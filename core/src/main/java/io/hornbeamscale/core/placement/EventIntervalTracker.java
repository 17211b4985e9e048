package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.fleet.FleetServer;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * How fast engines make events when nothing disturbs them. Servers of one service differ in speed, and on a slow one a
 * busy moment stretches the pause between two events beyond what is on time. The estimate takes over low values at once
 * and follows high ones slowly, since prompts of other requests and noisy neighbours only add time. Not safe for use by
 * several threads.
 */
public final class EventIntervalTracker {
    /** The weight of a value above the estimate. */
    private static final double INCREASE_WEIGHT = 0.01;

    private final Map<String, Double> intervalMillisByServer = new HashMap<>();

    /**
     * Notes how long a server took for an event, as a mean over several events of one stream.
     *
     * @param server the id of the server, not null
     * @param millis the time, in milliseconds
     */
    public void observe(String server, double millis) {
        intervalMillisByServer.merge(
                server, millis, (known, value) -> value < known ? value : known + INCREASE_WEIGHT * (value - known));
    }

    /**
     * Notes the estimate of another entry; the lower one counts.
     *
     * @param server the id of the server, not null
     * @param millis the time of an event, in milliseconds, 0 if the other entry does not know
     */
    public void peerReported(String server, double millis) {
        if (millis > 0) {
            intervalMillisByServer.merge(server, millis, Math::min);
        }
    }

    /**
     * Returns the estimate for a server.
     *
     * @param server the id of the server, not null
     * @return the time of an event, in milliseconds, 0 if unknown
     */
    public double intervalMillis(String server) {
        return intervalMillisByServer.getOrDefault(server, 0.0);
    }

    /**
     * Returns the estimates.
     *
     * @return the time of an event by server, a copy, never null
     */
    public Map<String, Double> all() {
        return Map.copyOf(intervalMillisByServer);
    }

    /**
     * Compares a server with the fastest of its service.
     *
     * @param server the id of the server, not null
     * @param service the servers of the service, not null
     * @return how many times as long the server takes, 1 if it is not known
     */
    public double slowdownFactor(String server, Collection<FleetServer> service) {
        double own = intervalMillis(server);
        if (own <= 0) {
            return 1;
        }
        double best = own;
        for (FleetServer other : service) {
            double millis = intervalMillis(other.id());
            if (millis > 0 && millis < best) {
                best = millis;
            }
        }
        return own / best;
    }

    /**
     * Forgets a server.
     *
     * @param server the id of the server, not null
     */
    public void forget(String server) {
        intervalMillisByServer.remove(server);
    }
}
