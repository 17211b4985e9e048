package io.hornbeamscale.measure.capacity;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Measures the slopes that the capacity page is worked out from, and prints one line for each. */
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
     * @param out where the lines go, not null
     * @return the exit status, 0
     */
    public static int run(String[] args, PrintStream out) {
        List<Slope> slopes = new ArrayList<>(EntryProbes.all());
        slopes.addAll(AgentProbes.all());
        slopes.addAll(FrameProbes.all());
        out.printf("%-62s %-14s %12s %12s  %s%n", "figure", "unit", "base", "per unit", "measured (size=figure)");
        for (Slope slope : slopes) {
            out.printf(
                    Locale.ROOT,
                    "%-62s %-14s %12.3f %12.5f  %s%n",
                    slope.name(),
                    slope.unit(),
                    slope.base(),
                    slope.perUnit(),
                    points(slope));
        }
        return 0;
    }

    private static String points(Slope slope) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < slope.sizes().size(); i++) {
            text.append(String.format(
                    Locale.ROOT,
                    "%d=%.3f ",
                    slope.sizes().get(i),
                    slope.figures().get(i)));
        }
        return text.toString().trim();
    }
}
