package io.hornbeamscale.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.hedge.HedgePolicy;
import io.hornbeamscale.gateway.Gateway;
import io.hornbeamscale.gateway.GatewaySettings;
import io.hornbeamscale.platform.PlatformExchangeCodec;
import io.hornbeamscale.platform.PlatformMetadataStore;
import io.hornbeamscale.platform.PlatformSettings;
import io.hornbeamscale.platform.PlatformStoreSchema;
import java.nio.file.Path;
import java.util.Optional;
import java.util.SplittableRandom;
import org.apache.logging.log4j.LogManager;

/**
 * Runs a gateway on the users' platform until SIGTERM or SIGINT, then stops it gracefully. SIGHUP reloads the settings.
 */
@Parameters(commandDescription = "Accept callers and send their requests straight to backend servers")
final class GatewayCommand extends Subcommand {
    @Parameter(names = "--settings", description = "The JSON file with the platform's settings")
    private String settingsFile;

    @Parameter(
            names = "--metrics-port",
            description = "The port of the metrics; without it, the last internal port of the settings")
    private int metricsPort;

    @Parameter(
            names = "--hedge-percent",
            description =
                    "How many of 100 requests may be sent to a second server when the first one is slow, 0 for none;"
                            + " it replaces the hedging of the settings",
            validateValueWith = PercentValidator.class)
    private Double hedgePercent;

    @Parameter(
            names = "--rehearse",
            description = "Start on the loopback address, send one request and end; the build records the classes used")
    private boolean isTrainingRun;

    @Override
    int run() {
        LogConfiguration.configureDecisionLog();
        if (isTrainingRun) {
            return CdsTrainingRun.run();
        }
        String path = Optional.ofNullable(settingsFile)
                .or(() -> Optional.ofNullable(System.getenv(PlatformSettings.PATH_VARIABLE)))
                .orElse(PlatformSettings.DEFAULT_PATH);
        GatewaySettings settings = readSettings(path);
        Gateway gateway = new Gateway(
                settings,
                new PlatformExchangeCodec(),
                new PlatformStoreSchema(),
                PlatformMetadataStore::new,
                new SplittableRandom(settings.node().hashCode() ^ System.nanoTime()));
        gateway.start();
        Signals.handle("HUP", () -> reload(gateway, path));
        return GracefulShutdown.await("gateway", gateway::drain, gateway::isDrained, gateway);
    }

    /** Reads the settings and applies the options, which take precedence. */
    GatewaySettings readSettings(String path) {
        GatewaySettings settings = PlatformSettings.read(Path.of(path)).withMetricsPort(metricsPort);
        return hedgePercent == null
                ? settings
                : settings.withHedging(HedgePolicy.ofShare(hedgePercent / PercentValidator.MAX_PERCENT));
    }

    private void reload(Gateway gateway, String path) {
        try {
            gateway.reload(readSettings(path));
        } catch (ServingException e) {
            LogManager.getLogger("process")
                    .error("Reloading the settings failed; the previous settings stay in force.", e);
        }
    }
}
