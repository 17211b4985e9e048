package io.hornbeamscale.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hornbeamscale.console.BlockingStoreClient;
import io.hornbeamscale.core.audit.PublishController;
import io.hornbeamscale.core.audit.PublishRequest;
import io.hornbeamscale.core.audit.TrailLimits;
import io.hornbeamscale.core.document.CustomerSpec;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ZoneId;
import io.hornbeamscale.core.membership.VmRecord;
import io.hornbeamscale.external.CallPolicy;
import io.hornbeamscale.external.HttpKeyValueStore;
import io.hornbeamscale.external.PlatformIo;
import io.hornbeamscale.standin.EngineStandIn;
import io.hornbeamscale.standin.StoreStandIn;
import io.hornbeamscale.standin.VmListStandIn;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;

/**
 * Measures how long a published version takes to reach daemons in separate processes, and how much traffic and
 * processor time the control plane uses in an idle process.
 */
final class ControlMeasurement {
    private static final int ENTRIES = 4;
    private static final int AGENTS = 2;
    private static final int VERSIONS = 5;
    private static final long IDLE_MILLIS = 20_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpClient HTTP = HttpClient.newHttpClient();

    private ControlMeasurement() {}

    public static void main(String[] args) throws Exception {
        Path directory = Files.createTempDirectory("control");
        StoreStandIn store = StoreStandIn.builder().build();
        VmListStandIn vmList = VmListStandIn.builder().build();
        EngineStandIn engine = EngineStandIn.builder().build();
        DaemonProcesses processes = new DaemonProcesses(directory);
        try {
            String storeAddress = Addresses.format(store.start());
            String vmListAddress = Addresses.format(vmList.start());
            String server = Addresses.format(engine.start());
            Map<String, Integer> adminPorts = new LinkedHashMap<>();
            List<Integer> agentPorts = new ArrayList<>();
            for (int i = 0; i < AGENTS; i++) {
                agentPorts.add(TestSettings.freePort());
                adminPorts.put("m" + i, TestSettings.freePort());
                registerVm(vmList, "m" + i, "agent", agentPorts.get(i));
                processes.start(
                        "m" + i,
                        "agent",
                        commonSettings("backend: m" + i, agentPorts.get(i), adminPorts.get("m" + i)) + "server: http://"
                                + server + "\nkind: model\n");
            }
            for (int i = 0; i < ENTRIES; i++) {
                int framesPort = TestSettings.freePort();
                adminPorts.put("e" + i, TestSettings.freePort());
                registerVm(vmList, "e" + i, "entry", framesPort);
                processes.start(
                        "e" + i,
                        "entry",
                        commonSettings("node: e" + i, TestSettings.freePort(), adminPorts.get("e" + i))
                                + "frames: 127.0.0.1:" + framesPort + "\nstore: http://" + storeAddress
                                + "\nvmList: http://"
                                + vmListAddress + "\n");
            }
            Document document = SettingsFiles.document(TestSettings.document(directory, agentPorts, List.of()));
            try (PlatformIo io = new PlatformIo(new Random(1))) {
                BlockingStoreClient client = new BlockingStoreClient(
                        new HttpKeyValueStore(io, Addresses.parse(storeAddress), CallPolicy.DEFAULT));
                for (int version = 1; version <= VERSIONS; version++) {
                    publishAndMeasure(client, withWeight(document, version), version, adminPorts);
                }
            }
            Map<String, JsonNode> before = statuses(adminPorts);
            Thread.sleep(IDLE_MILLIS);
            report(before, statuses(adminPorts));
        } finally {
            processes.close();
            engine.close();
            vmList.close();
            store.close();
        }
    }

    private static void publishAndMeasure(
            BlockingStoreClient client, Document document, int version, Map<String, Integer> adminPorts)
            throws Exception {
        PublishRequest request =
                new PublishRequest("w" + version, "test", "test", 0, "measurement", version - 1, document, 0, true);
        client.run(new PublishController(request, TrailLimits.STORE, new Random(version)));
        long start = System.nanoTime();
        for (Map.Entry<String, Integer> node : adminPorts.entrySet()) {
            Await.until(node.getKey() + " has version " + version, () -> version(node.getValue()) >= version);
        }
        System.out.printf(
                Locale.ROOT,
                "version %d: last of %d processes after %.2f s%n",
                version,
                adminPorts.size(),
                (System.nanoTime() - start) / 1e9);
    }

    private static void report(Map<String, JsonNode> before, Map<String, JsonNode> after) {
        double seconds = IDLE_MILLIS / 1e3;
        after.forEach((node, status) -> System.out.printf(
                Locale.ROOT,
                "%s idle: frames sent %.0f B/s, received %.0f B/s, control thread %.2f%% of a core%n",
                node,
                difference(before.get(node), status, "frames_sent_bytes") / seconds,
                difference(before.get(node), status, "frames_received_bytes") / seconds,
                difference(before.get(node), status, "control_cpu_nanos") / seconds / 1e7));
    }

    private static double difference(JsonNode before, JsonNode after, String field) {
        return after.path(field).asDouble() - before.path(field).asDouble();
    }

    private static Map<String, JsonNode> statuses(Map<String, Integer> adminPorts) {
        Map<String, JsonNode> statuses = new LinkedHashMap<>();
        adminPorts.forEach((node, port) -> statuses.put(node, status(port)));
        return statuses;
    }

    private static long version(int port) {
        return status(port).path("config_version").asLong();
    }

    private static JsonNode status(int port) {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/status"))
                    .build();
            return JSON.readTree(
                    HTTP.send(request, HttpResponse.BodyHandlers.ofString()).body());
        } catch (java.io.IOException e) {
            return JSON.createObjectNode();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Document withWeight(Document d, int version) {
        CustomerSpec c = d.customers().get(0);
        CustomerSpec changed = new CustomerSpec(
                c.name(), c.keyHashes(), c.services(), version, c.requestsPerSecond(), c.tokensPerSecond());
        return new Document(
                d.services(), List.of(changed), d.models(), d.workKinds(), d.backends(), d.regions(), d.limits());
    }

    private static String commonSettings(String firstLine, int listenPort, int adminPort) {
        return firstLine + "\nregion: amman\nzone: amman-a\nlisten: 127.0.0.1:" + listenPort + "\nadmin: 127.0.0.1:"
                + adminPort + "\n";
    }

    private static void registerVm(VmListStandIn vmList, String node, String role, int port) {
        vmList.put(new VmRecord(
                new NodeId(node), role, "127.0.0.1:" + port, new RegionId("amman"), new ZoneId("amman-a"), false));
    }
}
