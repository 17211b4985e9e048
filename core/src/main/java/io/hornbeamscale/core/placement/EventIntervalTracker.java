package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.fleet.FleetServer;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the time per event of undisturbed engines. Servers of one service differ in speed, and on a slow server a
 * short load peak extends the gap between two events beyond its objective. The estimate follows lower values at once
 * and higher values slowly, since prompts of other requests and noisy neighbors only add time. Where servers state in
 * their responses how long work takes at the moment, the lowest value of a server is its speed, known from its first
 * response on; a new server without a response is taken for an average one. Not safe for use by several threads.
 */
public final class EventIntervalTracker {
    /** The weight of a value above the estimate. */
    private static final double INCREASE_WEIGHT = 0.01;

    private final Map<String, Double> intervalMillisByServer = new HashMap<>();
    private final Map<String, Integer> workPercentByServer = new HashMap<>();

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
     * Records how long work takes on a server at the moment, as the server or another entry states. Noisy neighbors add
     * time, so the lowest value is kept.
     *
     * @param server the id of the server, not null
     * @param percent the time, in percent of the usual time; 0 or less if unknown
     */
    public void workTimeStated(String server, int percent) {
        if (percent > 0) {
            workPercentByServer.merge(server, percent, Math::min);
        }
    }

    /**
     * Returns the lowest stated time of work on a server.
     *
     * @param server the id of the server, not null
     * @return the time, in percent of the usual time; 0 if unknown
     */
    public int workPercent(String server) {
        return workPercentByServer.getOrDefault(server, 0);
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
     * Returns the lowest stated times of work.
     *
     * @return a copy of the times by server id, in percent of the usual time, never null
     */
    public Map<String, Integer> allWorkPercents() {
        return Map.copyOf(workPercentByServer);
    }

    /**
     * Compares a server with the fastest server of its service.
     *
     * @param server the id of the server, not null
     * @param service the servers of the service, not null
     * @return the time per event relative to the fastest server, at least 1; 1 if unknown
     */
    public double slowdownFactor(String server, Collection<FleetServer> service) {
        return service.stream().anyMatch(each -> workPercent(each.id()) > 0)
                ? statedFactor(server, service)
                : observedFactor(server, service);
    }

    private double statedFactor(String server, Collection<FleetServer> service) {
        int best = Integer.MAX_VALUE;
        long sum = 0;
        int known = 0;
        for (FleetServer each : service) {
            int percent = workPercent(each.id());
            if (percent > 0) {
                best = Math.min(best, percent);
                sum += percent;
                known++;
            }
        }
        double own = workPercent(server) > 0 ? workPercent(server) : sum / (double) known;
        return Math.max(1, own / best);
    }

    private double observedFactor(String server, Collection<FleetServer> service) {
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
        workPercentByServer.remove(server);
    }
}
