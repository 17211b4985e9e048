package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.fleet.FleetServer;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the time per event of undisturbed engines. Servers of one service differ in speed, and on a slow server a
 * short load peak extends the gap between two events beyond its objective. The estimate follows lower values at once
 * and higher values slowly, since prompts of other requests and noisy neighbors only add time. Not safe for use by
 * several threads.
 */
public final class EventIntervalTracker {
    /** The weight of a value above the estimate. */
    private static final double INCREASE_WEIGHT = 0.01;

    private final Map<String, Double> intervalMillisByServer = new HashMap<>();

    /**
     * Records the time per event of a server, as a mean over several events of one stream.
     *
     * @param server the id of the server, not null
     * @param millis the time, in milliseconds
     */
    public void observe(String server, double millis) {
        intervalMillisByServer.merge(
                server, millis, (known, value) -> value < known ? value : known + INCREASE_WEIGHT * (value - known));
    }

    /**
     * Records the estimate of another entry. The lower estimate is kept.
     *
     * @param server the id of the server, not null
     * @param millis the time per event, in milliseconds; 0 or less if unknown to the other entry
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
     * @return the time per event, in milliseconds; 0 if unknown
     */
    public double intervalMillis(String server) {
        return intervalMillisByServer.getOrDefault(server, 0.0);
    }

    /**
     * Returns all estimates.
     *
     * @return a copy of the times per event by server id, in milliseconds, never null
     */
    public Map<String, Double> all() {
        return Map.copyOf(intervalMillisByServer);
    }

    /**
     * Compares a server with the fastest server of its service.
     *
     * @param server the id of the server, not null
     * @param service the servers of the service, not null
     * @return the time per event relative to the fastest server, at least 1; 1 if unknown
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
     * Removes all data about a server. Does nothing if the server is unknown.
     *
     * @param server the id of the server, not null
     */
    public void forget(String server) {
        intervalMillisByServer.remove(server);
    }
}
