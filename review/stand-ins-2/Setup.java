import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/** What the cases share: the repository, a temporary folder, the store and the gateways. */
final class Setup {
    /** The bounds of the grown sites; they differ in retrySlack only. */
    static final String GROWN_BOUNDS =
            """
            {"seedLagS":3,"reuseAfterS":2,"stableWindowMs":5000,"ackMs":8000,"catchUpS":6,"drainMs":4000,"graceS":8,
            "lossSlackMs":200,"configApplyMs":4000,"rollbackSlackMs":250,"maxStretchMs":8000,"revokeStrict":false,
            "revokeMs":5000,"retryBudget":0.2,"budgetWindowS":10,"retrySlack":84,"recoveryS":15,"passMs":400,
            "reuseWindowS":4.4}""";

    /** The bounds of the sites petra-lanterns and lueur-ops. */
    static final String SMALL_BOUNDS =
            """
            {"seedLagS":3,"reuseAfterS":2,"stableWindowMs":4000,"ackMs":5000,"catchUpS":4,"drainMs":3000,"graceS":8,
            "lossSlackMs":200,"configApplyMs":3000,"rollbackSlackMs":250,"maxStretchMs":6000,"revokeStrict":false,
            "revokeMs":5000,"retryBudget":0.2,"budgetWindowS":10,"retrySlack":54,"recoveryS":12,"passMs":400,
            "reuseWindowS":4.3}""";

    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Store store = new Store();
    final List<Gateway> gateways = new ArrayList<>();
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    String bounds = SMALL_BOUNDS;
    private final int net = 1 + new SplittableRandom().nextInt(200);

    Setup() throws IOException {
        folder = Files.createTempDirectory("review-2-");
    }

    interface Body {
        int run(Setup setup) throws Exception;
    }

    /** Runs a case and ends the process with its result. */
    static void main(String recordFolder, Body body) {
        int result = NOT_RUN;
        Setup setup = null;
        try {
            Record.open(recordFolder);
            setup = new Setup();
            Runtime.getRuntime().addShutdownHook(new Thread(Gateway::killAll));
            result = body.run(setup);
        } catch (Exception e) {
            Record.line("the case could not run: %s", e);
            e.printStackTrace();
        } finally {
            Gateway.killAll();
            if (setup != null) {
                setup.deleteFolder();
            }
        }
        String text = result == BROKEN ? "rule broken" : result == HELD ? "rule held" : "not run";
        Record.line("result: %s", text);
        System.out.println(text);
        System.exit(result);
    }

    /** Adds a gateway, which is not started. */
    Gateway gateway(String zone) throws IOException {
        int n = gateways.size() + 1;
        Gateway added = new Gateway(
                root, folder, "edge-" + n, "127." + (20 + net) + ".1." + n, zone, store.new Door("127.0.0.1"), bounds);
        gateways.add(added);
        return added;
    }

    /** Starts all gateways and waits until they are ready. */
    void startGateways() throws IOException {
        for (Gateway each : gateways) {
            each.start();
        }
        for (Gateway each : gateways) {
            if (!each.awaitReady(30_000)) {
                throw new IOException(each.name + " is not ready: " + each.log());
            }
        }
        Record.line("all gateways are ready");
    }

    private void deleteFolder() {
        if (System.getenv("KEEP") != null) {
            System.out.println("kept " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        } catch (IOException e) {
            System.err.println("cannot delete the temporary folder: " + e);
        }
    }
}
