package io.hornbeamscale.measure.sim;

import io.hornbeamscale.measure.engine.EngineSettings;
import java.util.List;

/**
 * A situation to measure.
 *
 * @param name the name on the command line
 * @param runners the places of the model runners
 * @param entries the places of the entries
 * @param engine the behaviour of the engines
 * @param shapes the kinds of work
 * @param capacity the tokens per second of one saturated runner with these kinds of work
 * @param load the offered load as a share of the engines' capacity
 * @param seconds how long requests arrive
 * @param customerShares the share of each customer in the requests
 * @param swing demand factors over time
 * @param hugeEverySeconds the time between two generations that are 50 times longer than the mean, 0 for none
 * @param slowRunners the number of runners that become slow for moments
 * @param backlog the number of requests that arrive at once at the start of the measurement
 * @param flood the additional load of one customer as a share of capacity
 * @param zoneGone the availability zone that fails in the middle, empty for none
 */
public record Scenario(
        String name,
        List<Site> runners,
        List<Site> entries,
        EngineSettings engine,
        List<WorkShape> shapes,
        double capacity,
        double load,
        int seconds,
        List<Double> customerShares,
        Swing swing,
        double hugeEverySeconds,
        int slowRunners,
        int backlog,
        double flood,
        String zoneGone) {
    /** Requests that arrive before this time are not part of the figures, as the engines are still filling. */
    public static final int WARM_UP_SECONDS = 20;

    /** The course of demand over time. */
    public enum Swing {
        /** Random factors for each second, 1 on average. */
        GUSTS,
        /** The same, and four times the load for twenty seconds out of 120. */
        CREST
    }

    /**
     * Returns whether demand is at a crest.
     *
     * @param second the time in seconds
     * @return whether the time is within a crest
     */
    public boolean isCrest(double second) {
        return swing == Swing.CREST && second >= WARM_UP_SECONDS && second % 120 >= 20 && second % 120 < 40;
    }

    /**
     * Returns whether a crest is on or its backlog is still being worked off.
     *
     * @param second the time in seconds
     * @return whether the time is within 40 s of the start of a crest
     */
    public boolean isPeak(double second) {
        return isCrest(second) || isCrest(second - 20);
    }

    /**
     * Returns the mean output of a request.
     *
     * @return the mean in tokens
     */
    public double meanOutput() {
        return shapes.stream().mapToDouble(s -> s.share() * s.outputTokens()).sum();
    }
}
