import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One process of the role that the deploy file runs, on a loopback address of its own. */
final class Gateway {
    private static final List<Gateway> STARTED = new ArrayList<>();

    final String name;
    final String ip;
    final int frontPort;
    final int internalPort;
    final String front;
    final String readiness;
    final Store.Door door;
    private final Path settings;
    private final Path log;
    private final Path root;
    Process process;

    /**
     * Writes the settings of a machine.
     *
     * @param root the repository
     * @param folder a temporary folder
     */
    Gateway(Path root, Path folder, String name, String ip, String zone, Store.Door door, String bounds) throws IOException {
        this.root = root;
        this.name = name;
        this.ip = ip;
        this.door = door;
        this.frontPort = freePort(ip);
        this.front = ip + ":" + frontPort;
        this.readiness = ip + ":" + freePort(ip);
        this.internalPort = freePort(ip);
        this.settings = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log");
        Files.writeString(settings, settings(name, ip, zone, door.address(), bounds, front, readiness, internalPort));
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    private static String settings(
            String name,
            String ip,
            String zone,
            String store,
            String bounds,
            String front,
            String readiness,
            int internalPort) {
        return ("""
                {"nodeName":"%s","role":"gateway","machineClass":"edge","serves":["edge"],"ip":"%s","zone":"%s",
                "region":"r1","zones":{"z1":"r1","z2":"r1","z3":"r1"},
                "listen":{"front":"%s","readiness":"%s"},"internalPorts":[%d,%d],"seedNodes":[],
                "bootstrap":true,"countsAsLoss":false,
                "limits":{"cpuShare":0.57,"cpuCores":1,"memoryMb":280,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},
                "dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
                "contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
                "faultTolerance":{"machines":1,"zones":0,"regions":0},
                "bounds":%s,
                "platform":{"address":"%s","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,
                "valueBytes":1048576,"minTtlMs":1000}}
                """)
                .formatted(name, ip, zone, front, readiness, internalPort, internalPort + 15, bounds, store);
    }

    /** Starts the process with the command of the deploy file. */
    void start() throws IOException {
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                command.addAll(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ", -1)));
                break;
            }
        }
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("HORNBEAMSCALE_SETTINGS", settings.toString());
        builder.redirectInput(new File("/dev/null"));
        process = builder.start();
        synchronized (STARTED) {
            STARTED.add(this);
        }
        Record.line("start %s (%s)", name, ip);
    }

    boolean isReady() {
        Http.Message answer = Http.call(readiness, "GET", "/ready", Map.of("Host", readiness), new byte[0], 500);
        return answer != null && answer.status() == 200;
    }

    /** Waits until the process is ready. */
    boolean awaitReady(long timeoutMs) {
        long until = Store.now() + timeoutMs;
        while (Store.now() < until) {
            if (isReady()) {
                return true;
            }
            Store.sleep(50);
        }
        return false;
    }

    /** Sends a signal by its name, such as TERM. */
    void signal(String signal) throws IOException {
        Record.line("signal %s to %s", signal, name);
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    static void killAll() {
        synchronized (STARTED) {
            for (Gateway each : STARTED) {
                each.process.destroyForcibly();
                try {
                    each.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }
}
