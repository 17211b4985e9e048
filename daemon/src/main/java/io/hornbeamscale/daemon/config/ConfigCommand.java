package io.hornbeamscale.daemon.config;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.hornbeamscale.console.BlockingStoreClient;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.external.CallPolicy;
import io.hornbeamscale.external.HttpKeyValueStore;
import io.hornbeamscale.external.PlatformIo;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;

/**
 * The {@code config} subcommand. Exit status 0: success; 1: another operator published first, or the store failed; 2:
 * the arguments or the document are invalid, or warnings were not accepted.
 */
public final class ConfigCommand {
    private static final String PROGRAM_NAME = "hornbeamscale config";

    private ConfigCommand() {}

    /**
     * Runs one command.
     *
     * @param args the command ({@code get}, {@code validate}, {@code diff}, {@code publish}, {@code history},
     *     {@code rollback} or {@code password-hash}) with its options, not null
     * @param out receives results, not null
     * @param err receives errors, not null
     * @return the exit status
     */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        Arguments.notNull(args, "args");
        Arguments.notNull(out, "out");
        Arguments.notNull(err, "err");
        Map<String, ConfigOptions.Common> commands = commands();
        JCommander.Builder builder = JCommander.newBuilder().programName(PROGRAM_NAME);
        commands.forEach(builder::addCommand);
        JCommander parser = builder.build();
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            err.println(e.getMessage());
            printUsage(parser, err);
            return ExitStatus.INVALID_INPUT;
        }
        if (parser.getParsedCommand() == null) {
            printUsage(parser, err);
            return ExitStatus.INVALID_INPUT;
        }
        return execute(commands.get(parser.getParsedCommand()), out, err);
    }

    private static Map<String, ConfigOptions.Common> commands() {
        Map<String, ConfigOptions.Common> commands = new LinkedHashMap<>();
        commands.put("get", new ConfigOptions.Get());
        commands.put("validate", new ConfigOptions.Validate());
        commands.put("diff", new ConfigOptions.Diff());
        commands.put("publish", new ConfigOptions.Publish());
        commands.put("history", new ConfigOptions.History());
        commands.put("rollback", new ConfigOptions.Rollback());
        commands.put("password-hash", new ConfigOptions.PasswordHashOptions());
        return commands;
    }

    private static void printUsage(JCommander parser, PrintStream err) {
        StringBuilder text = new StringBuilder();
        parser.getUsageFormatter().usage(text);
        err.print(text);
        err.println("Exit status: 0 done; 1 conflict or store failure; 2 invalid arguments or document.");
    }

    private static int execute(ConfigOptions.Common options, PrintStream out, PrintStream err) {
        ConfigPrinter printer = new ConfigPrinter(options.isJson(), out, err);
        if (!options.isJson() && !options.output.equals("text")) {
            return printer.invalid("--output must be text or json: " + options.output);
        }
        try {
            return withStore(options.store, store -> new ConfigActions(store, printer).run(options));
        } catch (IllegalArgumentException e) {
            return printer.invalid(e.getMessage());
        } catch (ServingException e) {
            return printer.failure(e.kind(), e.getMessage());
        }
    }

    private static int withStore(String address, Function<BlockingStoreClient, Integer> action) {
        if (address == null) {
            return action.apply(null);
        }
        InetSocketAddress parsed = parseAddress(address);
        try (PlatformIo io = new PlatformIo(new Random())) {
            return action.apply(new BlockingStoreClient(new HttpKeyValueStore(io, parsed, CallPolicy.DEFAULT)));
        }
    }

    private static InetSocketAddress parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        String host = colon < 0 ? "" : address.substring(0, colon);
        // Host names are rejected, since resolving them would depend on name servers; the platform uses IP addresses.
        if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
            throw new IllegalArgumentException("--store must be an IP address and a port: " + address);
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(address.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new IllegalArgumentException("--store must be an IP address and a port: " + address, e);
        }
    }
}
