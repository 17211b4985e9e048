package io.hornbeamscale.measure;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** The options of the measure command. */
final class MeasureOptions {
    @Parameter(names = "--scenario", description = "scenarios, separated by commas, or 'all'")
    List<String> scenarios = new ArrayList<>(List.of("steady"));

    @Parameter(names = "--policy", description = "policies, separated by commas")
    List<String> policies = new ArrayList<>(List.of("least-outstanding", "hornbeam"));

    @Parameter(names = "--seed", description = "first seed")
    long firstSeed = 1;

    @Parameter(names = "--seeds", description = "number of seeds")
    int seeds = 1;

    @Parameter(names = "--without", description = "mechanisms to switch off, separated by commas")
    List<String> disabledMechanisms = new ArrayList<>();

    @Parameter(names = "--figures", description = "figures to print, separated by commas; all by default")
    List<String> figures = new ArrayList<>();

    @Parameter(names = "--threads", description = "number of runs at the same time")
    int threads = 1;

    @Parameter(names = "--json", description = "file to write the table to")
    String jsonFile = "";

    @Parameter(names = "--help", help = true, description = "prints the options")
    boolean isHelp;
}
