package io.hornbeamscale.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.hornbeamscale.daemon.demo.DemoReport;
import java.util.List;

/** Runs small versions of both deployments in one process and checks what callers receive. */
@Parameters(commandDescription = "Run both deployments in small in one process and check what callers see")
final class DemoCommand extends Subcommand {
    @Parameter(names = "--deployment", description = "tours, sensors or both")
    private String deployment = "both";

    @Parameter(names = "--serve", description = "Start the deployment tours and serve until the process is stopped")
    private boolean isServeOnly;

    @Override
    int run() {
        if (!List.of("tours", "sensors", "both").contains(deployment)) {
            System.err.println("--deployment: '" + deployment + "' is not one of tours, sensors, both");
            return Main.BAD_USAGE;
        }
        LogConfiguration.configureErrorsOnly();
        DemoReport report = new DemoReport(System.out);
        if (isServeOnly) {
            DemoDeployment.serve("tours", List.of("amman", "wadi-musa"), "bookings", report);
            return 0;
        }
        if (!deployment.equals("sensors")) {
            DemoDeployment.run("tours", List.of("amman", "wadi-musa"), "bookings", report);
        }
        if (!deployment.equals("tours")) {
            DemoDeployment.run("sensors", List.of("qc-est", "qc-ouest"), "schedules", report);
        }
        return report.printSummary() ? 0 : 1;
    }
}
