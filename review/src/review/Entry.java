package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A process of the system on a loopback address of its own, started in the repository root with the command of the
 * deploy file.
 */
final class Entry implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]+)\"");
    private static final long READY_TIMEOUT_MILLIS = 20_000;

    private final String name;
    private final String ip;
    private final String zone;
    private final int callerPort;
    private final int readinessPort;
    private final Path folder;
    private final Path settings;
    private final Record record;
    private Process process;

    Entry(String name, String zone, Platform platform, Path folder, Record record) throws IOException {
        this.name = name;
        this.zone = zone;
        this.folder = folder;
        this.record = record;
        ip = freeIp();
        callerPort = freePort(ip);
        readinessPort = freePort(ip);
        settings = folder.resolve(name + ".json");
        Files.writeString(settings, settings(platform.address()));
    }

    /** Returns a random address of the loopback range on which the metrics port of the deploy file is free. */
    static String freeIp() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        while (true) {
            String ip = "127." + random.nextInt(1, 255) + "." + random.nextInt(1, 255) + "." + random.nextInt(1, 255);
            if (isFree(ip, 9464) && isFree(ip, 7200)) {
                return ip;
            }
        }
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    InetSocketAddress callerAddress() {
        return new InetSocketAddress(ip, callerPort);
    }

    String ip() {
        return ip;
    }

    String name() {
        return name;
    }

    /** Starts the process; its output goes to a file in the temporary folder. */
    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file names no command");
        }
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("HORNBEAMSCALE_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        process = builder.start();
        record.line(name, "started");
    }

    Path log() {
        return folder.resolve(name + ".log");
    }

    /** Waits until the process says that it is ready. */
    void awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000;
        while (!isReady()) {
            if (System.nanoTime() > until || !process.isAlive()) {
                throw new IOException(name + " did not become ready");
            }
            Thread.sleep(20);
        }
        record.line(name, "ready");
    }

    /** Returns whether a question for readiness is answered with 200 within a second. */
    boolean isReady() {
        try {
            HttpURLConnection call =
                    (HttpURLConnection) new URL("http://" + ip + ":" + readinessPort + "/ready").openConnection();
            call.setConnectTimeout(1_000);
            call.setReadTimeout(1_000);
            int status = call.getResponseCode();
            call.disconnect();
            return status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws IOException, InterruptedException {
        record.line(name, "gets " + signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Waits until the process has ended. */
    boolean awaitEnd(long millis) throws InterruptedException {
        boolean isEnded = process.waitFor(millis, TimeUnit.MILLISECONDS);
        if (isEnded) {
            record.line(name, "ended with status " + process.exitValue());
        }
        return isEnded;
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private String settings(String platformAddress) {
        return "{\"nodeName\":\"" + name + "\",\"role\":\"gateway\",\"machineClass\":\"edge\",\"serves\":[\"edge\"],"
                + "\"ip\":\"" + ip + "\",\"zone\":\"" + zone + "\",\"region\":\"amman\","
                + "\"zones\":{\"jabal-amman\":\"amman\",\"siq-gate\":\"wadi-musa\",\"weibdeh\":\"amman\"},"
                + "\"listen\":{\"front\":\"" + ip + ":" + callerPort + "\",\"readiness\":\"" + ip + ":" + readinessPort
                + "\"},\"internalPorts\":[7200,7215],\"seedNodes\":[],\"bootstrap\":true,\"countsAsLoss\":false,"
                + "\"limits\":{\"cpuShare\":0.57,\"cpuCores\":1,\"memoryMb\":280,\"maxFds\":4100,"
                + "\"linkMbps\":1000.0,\"diskMb\":0},\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\","
                + "\"heartbeatMs\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
                + "\"engine\",\"stream\",\"tenants\",\"platform\"],"
                + "\"faultTolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},"
                + "\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,\"stableWindowMs\":4000,\"ackMs\":5000,\"catchUpS\":4,"
                + "\"drainMs\":3000,\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":3000,\"rollbackSlackMs\":250,"
                + "\"maxStretchMs\":6000,\"revokeStrict\":false,\"revokeMs\":5000,\"retryBudget\":0.2,"
                + "\"budgetWindowS\":10,\"retrySlack\":54,\"recoveryS\":12,\"passMs\":400,\"reuseWindowS\":4.3},"
                + "\"platform\":{\"address\":\"" + platformAddress + "\",\"form\":\"kv\",\"writesPerS\":400,"
                + "\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576,\"minTtlMs\":1000}}";
    }
}
