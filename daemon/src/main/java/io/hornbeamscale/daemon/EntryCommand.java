package io.hornbeamscale.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.hornbeamscale.core.drain.DrainReason;
import java.nio.file.Path;

/** Runs an entry until SIGTERM or SIGINT, then stops it gracefully. */
@Parameters(commandDescription = "Accept callers and hand their requests to agents")
final class EntryCommand extends Subcommand {
    @Parameter(names = "--settings", required = true, description = "The YAML file with the settings")
    private String settingsFile;

    @Override
    int run() {
        EntrySettings settings = SettingsFiles.entry(Path.of(settingsFile));
        LogConfiguration.configure(settings.log());
        EntryDaemon entry = new EntryDaemon(settings);
        entry.start();
        return GracefulShutdown.await("entry", () -> entry.drain(DrainReason.STOP_REQUESTED), entry::isDrained, entry);
    }
}
