package io.hornbeamscale.daemon;

import com.beust.jcommander.Parameter;

/** A subcommand of the program. */
abstract class Command {
    @Parameter(names = "--help", help = true, description = "Show the options of this command")
    private boolean isHelp;

    boolean isHelp() {
        return isHelp;
    }

    /** Runs the command and returns the exit status. */
    abstract int run();
}
