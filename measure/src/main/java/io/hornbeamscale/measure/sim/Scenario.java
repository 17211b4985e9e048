package io.hornbeamscale.measure.sim;

import io.hornbeamscale.measure.engine.EngineSettings;
import java.util.List;

/**
 * A scenario to simulate.
 *
 * @param name the name on the command line
 * @param backends the locations of the model backend servers
 * @param entries the locations of the entries
 * @param engine the settings of the engines
 * @param workProfiles the kinds of work with their size distributions
 * @param backendTokensPerSecond the output tokens per second of one saturated backend server with these kinds of work
 * @param offeredLoad the offered load as a share of the engines' capacity
 * @param arrivalSeconds the time during which requests arrive in seconds
 * @param customerShares the share of requests of each customer
 * @param demandPattern how demand varies over time
 * @param hugeRequestIntervalSeconds the seconds between two generations of 50 times the mean output, 0 for none
 * @param slowBackends the number of backend servers that have slow periods
 * @param initialBacklog the number of requests that arrive at once at the start of the measurement
 * @param floodLoad the additional load of one customer as a share of the engines' capacity
 * @param failedZone the availability zone that fails after half of the arrival time, empty for none
 */
public record Scenario(
        String name,
        List<NodeLocation> backends,
        List<NodeLocation> entries,
        EngineSettings engine,
        List<WorkProfile> workProfiles,
        double backendTokensPerSecond,
        double offeredLoad,
        int arrivalSeconds,
        List<Double> customerShares,
        DemandPattern demandPattern,
        double hugeRequestIntervalSeconds,
        int slowBackends,
        int initialBacklog,
        double floodLoad,
        String failedZone) {
    /** Requests that arrive before this time are excluded from the figures because the engines are still filling up. */
    public static final int WARM_UP_SECONDS = 20;

    /** How demand varies over time. */
    public enum DemandPattern {
        /** A random factor for each second, 1 on average. */
        FLUCTUATING,
        /** Like {@link #FLUCTUATING}, but four times the load during 20 of every 120 seconds. */
        SURGES
    }

    /**
     * Returns whether a time is within a surge of demand.
     *
     * @param second the time in seconds
     * @return true if the time is within a surge
     */
    public boolean isSurge(double second) {
        return demandPattern == DemandPattern.SURGES
                && second >= WARM_UP_SECONDS
                && second % 120 >= 20
                && second % 120 < 40;
    }

    /**
     * Returns whether a time is within a surge or the 20 seconds after it, in which the backlog is processed.
     *
     * @param second the time in seconds
     * @return true if the time is within 40 s of the start of a surge
     */
    public boolean isPeak(double second) {
        return isSurge(second) || isSurge(second - 20);
    }

    /**
     * Returns the mean number of output tokens per request.
     *
     * @return the mean in tokens
     */
    public double meanOutput() {
        return workProfiles.stream()
                .mapToDouble(p -> p.share() * p.outputTokens())
                .sum();
    }
}
