package io.hornbeamscale.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.hornbeamscale.core.drain.DrainReason;
import java.nio.file.Path;

/** Runs an agent until SIGTERM or SIGINT, then stops it gracefully. */
@Parameters(commandDescription = "Run the work of one backend server")
final class AgentCommand extends Subcommand {
    @Parameter(names = "--settings", required = true, description = "The YAML file with the settings")
    private String settingsFile;

    @Override
    int run() {
        AgentSettings settings = SettingsFiles.agent(Path.of(settingsFile));
        LogConfiguration.configure(settings.log());
        AgentDaemon agent = new AgentDaemon(settings);
        agent.start();
        return GracefulShutdown.await("agent", () -> agent.drain(DrainReason.STOP_REQUESTED), agent::isDrained, agent);
    }
}
