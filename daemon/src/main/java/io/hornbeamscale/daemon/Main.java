package io.hornbeamscale.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.hornbeamscale.daemon.config.ConfigCommand;
import io.hornbeamscale.daemon.explain.ExplainCommand;
import io.hornbeamscale.measure.MeasureCommand;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** The entry point of the program: runs one of its subcommands. */
public final class Main {
    /** The exit status after invalid arguments or settings. */
    static final int BAD_USAGE = 2;

    /** The text for {@code --help} without a subcommand. */
    static final String USAGE = """
            Usage: hornbeamscale COMMAND [options]

              entry    accept callers and hand their requests to agents
              gateway  accept callers and send their requests straight to backend servers
              agent    run requests on the backend server beside it
              config   get, validate, compare, publish and roll back the document
              status   show the state of running processes
              demo     run two small deployments on this machine
              explain  explain what happened to a request, from logs
              measure  run scheduling scenarios on a manual clock

            COMMAND --help shows the options of a command.
            """;

    private Main() {}

    /**
     * Runs the program.
     *
     * @param args the arguments, not null
     */
    public static void main(String[] args) {
        Thread.setDefaultUncaughtExceptionHandler(new FatalErrorHandler(Runtime.getRuntime()::halt));
        int status = run(args);
        if (status != 0) {
            System.exit(status);
        }
    }

    /** Runs a subcommand and returns the exit status. */
    static int run(String... args) {
        if (args.length == 1 && args[0].equals("--help")) {
            System.out.print(USAGE);
            return 0;
        }
        if (args.length > 0 && args[0].equals("config")) {
            return ConfigCommand.run(Arrays.copyOfRange(args, 1, args.length), System.out, System.err);
        }
        if (args.length > 0 && args[0].equals("explain")) {
            return ExplainCommand.run(Arrays.copyOfRange(args, 1, args.length), System.out, System.err);
        }
        if (args.length > 0 && args[0].equals("measure")) {
            return MeasureCommand.run(Arrays.copyOfRange(args, 1, args.length), System.out);
        }
        Map<String, Subcommand> commands = new LinkedHashMap<>();
        commands.put("entry", new EntryCommand());
        commands.put("gateway", new GatewayCommand());
        commands.put("agent", new AgentCommand());
        commands.put("status", new StatusCommand());
        commands.put("demo", new DemoCommand());
        JCommander parser = JCommander.newBuilder().programName("hornbeamscale").build();
        commands.forEach(parser::addCommand);
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.err.println("Use --help after a command to see its options.");
            return BAD_USAGE;
        }
        String name = parser.getParsedCommand();
        Subcommand command = commands.get(name);
        if (command == null) {
            parser.usage();
            return BAD_USAGE;
        }
        if (command.isHelp()) {
            parser.getUsageFormatter().usage(name);
            return 0;
        }
        try {
            return command.run();
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            return BAD_USAGE;
        }
    }
}
