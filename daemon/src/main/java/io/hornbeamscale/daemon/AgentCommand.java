package io.hornbeamscale.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.hornbeamscale.core.drain.DrainReason;
import java.nio.file.Path;

/** Runs an agent until the process is asked to stop. */
@Parameters(commandDescription = "Run the work of one backend server")
final class AgentCommand extends Command {
    @Parameter(names = "--settings", required = true, description = "The YAML file with the settings")
    private String file;

    @Override
    int run() {
        AgentSettings settings = SettingsFiles.agent(Path.of(file));
        Logs.configure(settings.log());
        AgentDaemon agent = new AgentDaemon(settings);
        agent.start();
        return Stops.await("agent", () -> agent.drain(DrainReason.STOP_REQUESTED), agent::isDrained, agent);
    }
}
