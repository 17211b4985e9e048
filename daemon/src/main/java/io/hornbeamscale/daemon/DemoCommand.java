package io.hornbeamscale.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.hornbeamscale.daemon.demo.DemoReport;
import java.util.List;

/** Runs both deployments in small and checks what callers see. */
@Parameters(commandDescription = "Run both deployments in small in one process and check what callers see")
final class DemoCommand extends Command {
    @Parameter(names = "--deployment", description = "tours, sensors or both")
    private String deployment = "both";

    @Parameter(names = "--serve", description = "Start the deployment tours and serve until the process is stopped")
    private boolean isServing;

    @Override
    int run() {
        if (!List.of("tours", "sensors", "both").contains(deployment)) {
            System.err.println("--deployment: '" + deployment + "' is not one of tours, sensors, both");
            return Main.BAD_USAGE;
        }
        Logs.quiet();
        DemoReport report = new DemoReport(System.out);
        if (isServing) {
            Demo.serve("tours", List.of("amman", "wadi-musa"), "bookings", report);
            return 0;
        }
        if (!deployment.equals("sensors")) {
            Demo.run("tours", List.of("amman", "wadi-musa"), "bookings", report);
        }
        if (!deployment.equals("tours")) {
            Demo.run("sensors", List.of("qc-est", "qc-ouest"), "schedules", report);
        }
        return report.printSummary() ? 0 : 1;
    }
}
