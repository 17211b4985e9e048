import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
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

    private static final int METRICS_PORT = 9_464;
    private static final int MAX_TRIES = 20;

    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Store store = new Store();
    final List<Gateway> gateways = new ArrayList<>();
    final boolean hasTrouble;
    String bounds = SMALL_BOUNDS;
    private final int net = freeNet();

    Setup(boolean hasTrouble) throws IOException {
        this.hasTrouble = hasTrouble;
        folder = Files.createTempDirectory("review-2-");
    }

    /** Returns a part of the loopback range in which the metrics port of the deploy file's command is free. */
    private static int freeNet() {
        SplittableRandom random = new SplittableRandom();
        for (int i = 0; i < MAX_TRIES; i++) {
            int found = 1 + random.nextInt(200);
            try (ServerSocket socket = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(ip(found, 1)))) {
                return found;
            } catch (IOException e) {
                Record.line("%s:%d is in use", ip(found, 1), METRICS_PORT);
            }
        }
        throw new IllegalStateException("the metrics port is in use on every address tried");
    }

    private static String ip(int net, int number) {
        return "127." + (20 + net) + ".1." + number;
    }

    interface Body {
        int run(Setup setup) throws Exception;
    }

    /**
     * Runs a case and ends the process with its result.
     *
     * @param args the path of record.txt, and 0 to leave out the disruption
     */
    static void main(String[] args, Body body) {
        int result = NOT_RUN;
        Setup setup = null;
        try {
            Record.open(args[0]);
            setup = new Setup(args.length < 2 || !args[1].equals("0"));
            Runtime.getRuntime().addShutdownHook(new Thread(Gateway::killAll));
            result = body.run(setup);
        } catch (Throwable e) {
            // Also an Error: the exit status 1 is kept for a broken rule.
            result = NOT_RUN;
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
                root, folder, "edge-" + n, ip(net, n), zone, store.new Door("127.0.0.1"), bounds);
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
