package io.hornbeamscale.measure;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.hornbeamscale.measure.sim.Policy;
import io.hornbeamscale.measure.sim.Scenario;
import io.hornbeamscale.measure.sim.Scenarios;
import io.hornbeamscale.measure.sim.Simulation;
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

/** The command {@code hornbeamscale measure}: runs scenarios and prints one table. */
public final class MeasureCommand {
    private static final int OK = 0;
    private static final int USAGE = 2;

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
     * @param out where the table goes, not null
     * @return the exit status: 0, or 2 if an argument is wrong
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
                return OK;
            }
            MeasureTable table = measure(options);
            table.print(out, options.figures);
            if (!options.json.isEmpty()) {
                table.writeJson(options.json);
            }
            return OK;
        } catch (ParameterException | IllegalArgumentException e) {
            out.println("measure: " + e.getMessage());
            return USAGE;
        }
    }

    private static MeasureTable measure(MeasureOptions options) {
        List<String> names = options.scenarios.equals(List.of("all")) ? Scenarios.names() : options.scenarios;
        List<Scenario> scenarios = names.stream().map(Scenarios::of).toList();
        List<Policy> policies = options.policies.stream().map(Policy::ofLabel).toList();
        Set<String> without = new HashSet<>(options.without);
        ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, options.threads));
        try {
            List<Run> runs = new ArrayList<>();
            for (Scenario s : scenarios) {
                for (Policy p : policies) {
                    for (long seed = options.seed; seed < options.seed + options.seeds; seed++) {
                        long used = seed;
                        runs.add(new Run(
                                s.name(), p.label(), pool.submit(() -> new Simulation(s, p, used, without).run())));
                    }
                }
            }
            MeasureTable table = new MeasureTable();
            for (Run r : runs) {
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

    private record Run(String scenario, String policy, Future<Map<String, Double>> figures) {}
}
