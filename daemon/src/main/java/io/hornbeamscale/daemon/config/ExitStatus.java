package io.hornbeamscale.daemon.config;

/** The exit statuses of the {@code config} subcommand. */
final class ExitStatus {
    /** The command succeeded. */
    static final int OK = 0;

    /** Another operator published first, or the store failed. */
    static final int CONFLICT_OR_STORE = 1;

    /** The arguments or the document are invalid, or warnings were not accepted. */
    static final int INVALID_INPUT = 2;

    private ExitStatus() {}
}
