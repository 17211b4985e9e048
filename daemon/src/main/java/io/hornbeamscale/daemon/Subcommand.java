package io.hornbeamscale.daemon;

import com.beust.jcommander.Parameter;

/** A subcommand of the program whose options are parsed by JCommander. */
abstract class Subcommand {
    @Parameter(names = "--help", help = true, description = "Show the options of this command")
    private boolean isHelp;

    boolean isHelp() {
        return isHelp;
    }

    /** Runs the command and returns the exit status. */
    abstract int run();
}
