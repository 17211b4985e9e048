package io.hornbeamscale.daemon.config;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** The command line options of the {@code config} subcommand, one class for each command. */
final class ConfigOptions {
    private ConfigOptions() {}

    /** Options of all commands. */
    static class Common {
        @Parameter(names = "--output", description = "text or json")
        String output = "text";

        @Parameter(names = "--store", description = "IP address and port of the platform's store")
        String store;

        boolean isJson() {
            return output.equals("json");
        }
    }

    /** Options of the commands that publish a new version of the document. */
    static class Change extends Common {
        @Parameter(names = "--expect", required = true, description = "version that the change builds on, 0 for none")
        long expect;

        @Parameter(names = "--operator", required = true, description = "name for the audit trail")
        String operator;

        @Parameter(names = "--why", required = true, description = "reason for the audit trail")
        String why;

        @Parameter(names = "--accept-warnings", description = "publish although running work may be stranded")
        boolean acceptsWarnings;
    }

    /** Options of {@code get}. */
    @Parameters(commandDescription = "Print the document in force, or an older version")
    static final class Get extends Common {
        @Parameter(names = "--version", description = "version to print; the one in force by default")
        long version;
    }

    /** Options of {@code validate}. */
    @Parameters(commandDescription = "Check FILE (- for standard input) and print all errors")
    static final class Validate extends Common {
        @Parameter(description = "FILE", required = true)
        List<String> files = new ArrayList<>();
    }

    /** Options of {@code diff}. */
    @Parameters(commandDescription = "Compare FILE, or --from and --to, with the version in force")
    static final class Diff extends Common {
        @Parameter(description = "FILE")
        List<String> files = new ArrayList<>();

        @Parameter(names = "--from", description = "version to start from; the one in force by default")
        long from;

        @Parameter(names = "--to", description = "version to compare with, instead of FILE")
        long to;
    }

    /** Options of {@code publish}. */
    @Parameters(commandDescription = "Publish FILE (- for standard input) as the next version")
    static final class Publish extends Change {
        @Parameter(description = "FILE", required = true)
        List<String> files = new ArrayList<>();
    }

    /** Options of {@code history}. */
    @Parameters(commandDescription = "Print who published what, newest first")
    static final class History extends Common {
        @Parameter(names = "--count", description = "number of versions")
        int count = 20;
    }

    /** Options of {@code rollback}. */
    @Parameters(commandDescription = "Publish the content of VERSION as the next version")
    static final class Rollback extends Change {
        @Parameter(description = "VERSION", required = true)
        List<Long> versions = new ArrayList<>();
    }

    /** Options of {@code password-hash}. */
    @Parameters(
            commandDescription = "Read a password from standard input and print its hash for the console's settings")
    static final class PasswordHashOptions extends Common {}
}
