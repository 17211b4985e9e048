package io.hornbeamscale.measure.capacity;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Measures how heap, processor time and frame sizes grow, for the capacity page, and prints one line per fit. */
public final class CapacityCommand {
    private CapacityCommand() {}

    /**
     * Runs the command and exits with its status.
     *
     * @param args not used
     */
    public static void main(String[] args) {
        System.exit(run(args, System.out));
    }

    /**
     * Runs the command.
     *
     * @param args not used
     * @param out the stream that the lines are printed to, not null
     * @return the exit status, 0
     */
    public static int run(String[] args, PrintStream out) {
        List<LinearFit> fits = new ArrayList<>(EntryMeasurements.all());
        fits.addAll(AgentMeasurements.all());
        fits.addAll(FrameMeasurements.all());
        out.printf("%-62s %-14s %12s %12s  %s%n", "figure", "unit", "base", "per unit", "measured (size=figure)");
        for (LinearFit fit : fits) {
            out.printf(
                    Locale.ROOT,
                    "%-62s %-14s %12.3f %12.5f  %s%n",
                    fit.name(),
                    fit.unit(),
                    fit.intercept(),
                    fit.slope(),
                    points(fit));
        }
        return 0;
    }

    private static String points(LinearFit fit) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < fit.sizes().size(); i++) {
            text.append(String.format(
                    Locale.ROOT, "%d=%.3f ", fit.sizes().get(i), fit.figures().get(i)));
        }
        return text.toString().trim();
    }
}
