package io.hornbeamscale.measure;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.hornbeamscale.measure.sim.Policy;
import io.hornbeamscale.measure.sim.Scenario;
import io.hornbeamscale.measure.sim.ScenarioSimulation;
import io.hornbeamscale.measure.sim.Scenarios;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** The command {@code hornbeamscale measure}: simulates scenarios and prints a table for each of them. */
public final class MeasureCommand {
    private static final int EXIT_OK = 0;
    private static final int EXIT_USAGE = 2;

    private MeasureCommand() {}

    /**
     * Runs the command and exits with its status.
     *
     * @param args the arguments, not null
     */
    public static void main(String[] args) {
        System.exit(run(args, System.out));
    }

    /**
     * Runs the command.
     *
     * @param args the arguments, not null
     * @param out the stream that the tables are printed to, not null
     * @return the exit status: 0, or 2 if an argument is invalid
     */
    public static int run(String[] args, PrintStream out) {
        MeasureOptions options = new MeasureOptions();
        JCommander parser = JCommander.newBuilder()
                .programName("hornbeamscale measure")
                .addObject(options)
                .build();
        try {
            parser.parse(args);
            if (options.isHelp) {
                StringBuilder usage = new StringBuilder();
                parser.getUsageFormatter().usage(usage);
                out.println(usage);
                return EXIT_OK;
            }
            MeasureTable table = measure(options);
            table.print(out, options.figures);
            if (!options.jsonFile.isEmpty()) {
                table.writeJson(options.jsonFile);
            }
            return EXIT_OK;
        } catch (ParameterException | IllegalArgumentException e) {
            out.println("measure: " + e.getMessage());
            return EXIT_USAGE;
        }
    }

    private static MeasureTable measure(MeasureOptions options) {
        List<String> names = options.scenarios.equals(List.of("all")) ? Scenarios.names() : options.scenarios;
        List<Scenario> scenarios = names.stream().map(Scenarios::of).toList();
        List<Policy> policies = options.policies.stream().map(Policy::ofLabel).toList();
        Set<String> disabled = new HashSet<>(options.disabledMechanisms);
        ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, options.threads));
        try {
            List<PendingRun> runs = new ArrayList<>();
            for (Scenario s : scenarios) {
                for (Policy p : policies) {
                    for (long seed = options.firstSeed; seed < options.firstSeed + options.seeds; seed++) {
                        long runSeed = seed;
                        runs.add(new PendingRun(
                                s.name(),
                                p.label(),
                                pool.submit(() -> new ScenarioSimulation(s, p, runSeed, disabled).run())));
                    }
                }
            }
            MeasureTable table = new MeasureTable();
            for (PendingRun r : runs) {
                table.add(r.scenario, r.policy, r.figures.get());
            }
            return table;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("the measurement was interrupted", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a run failed: " + e.getCause(), e);
        } finally {
            pool.shutdownNow();
        }
    }

    private record PendingRun(String scenario, String policy, Future<Map<String, Double>> figures) {}
}
