package io.hornbeamscale.daemon;

import io.hornbeamscale.console.BlockingStoreClient;
import io.hornbeamscale.core.audit.PublishController;
import io.hornbeamscale.core.audit.PublishRequest;
import io.hornbeamscale.core.audit.PublishResult;
import io.hornbeamscale.core.audit.TrailLimits;
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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Entries and agents in the test's process, with stand-ins for the engines, the platform's store and the VM list. */
final class ControlPlaneDeployment implements AutoCloseable {
    final StoreStandIn store = StoreStandIn.builder().build();
    final VmListStandIn vmList = VmListStandIn.builder().build();
    final List<EngineStandIn> engines = new ArrayList<>();
    final List<AgentDaemon> agents = new ArrayList<>();
    final Map<String, EntryDaemon> entries = new LinkedHashMap<>();
    final Document document;
    private final Map<String, URI> entryUris = new LinkedHashMap<>();
    private final List<Integer> agentPorts = new ArrayList<>();
    private final PlatformIo platform = new PlatformIo(new Random(7));
    private final HttpClient http = HttpClient.newHttpClient();
    private final BlockingStoreClient publisher;
    private final URI storeUri;
    private final URI vmListUri;

    /** Starts the stand-ins and the agents of a model service. */
    ControlPlaneDeployment(Path directory, int agentCount) {
        InetSocketAddress address = store.start();
        storeUri = uri(address);
        vmListUri = uri(vmList.start());
        publisher = new BlockingStoreClient(new HttpKeyValueStore(platform, address, CallPolicy.DEFAULT));
        for (int i = 0; i < agentCount; i++) {
            EngineStandIn engine = EngineStandIn.builder().tokenMicros(200).build();
            engines.add(engine);
            AgentDaemon agent = new AgentDaemon(TestSettings.agent("m" + i, 0, engine.start(), "model"));
            agents.add(agent);
            agentPorts.add(agent.start().getPort());
            registerVm("m" + i, "agent", agentPorts.get(i), false);
        }
        document = SettingsFiles.document(TestSettings.document(directory, agentPorts, List.of()));
    }

    void startEntries(int count) {
        for (int i = 0; i < count; i++) {
            startEntry("e" + i);
        }
    }

    /** Starts an entry and adds it to the VM list. It learns its peers from the VM list. */
    EntryDaemon startEntry(String node) {
        EntrySettings settings = new EntrySettings(
                node,
                "amman",
                "amman-a",
                TestSettings.loopback(0),
                TestSettings.loopback(0),
                TestSettings.loopback(0),
                entries.values().stream()
                        .limit(1)
                        .map(EntryDaemon::framesAddress)
                        .toList(),
                "amman",
                null,
                storeUri,
                vmListUri,
                null,
                16 * 1024,
                20_000,
                "text");
        EntryDaemon entry = new EntryDaemon(settings);
        entryUris.put(node, uri(entry.start()));
        entries.put(node, entry);
        registerVm(node, "entry", entry.framesAddress().getPort(), false);
        return entry;
    }

    void stopEntry(String node) {
        entries.remove(node).close();
    }

    void markLeaving(String agent, int index) {
        registerVm(agent, "agent", agentPorts.get(index), true);
    }

    PublishResult publish(Document next, long expectedVersion) {
        PublishRequest request = new PublishRequest(
                "writer-" + expectedVersion, "ana", "test", 0, "test", expectedVersion, next, 0, true);
        return publisher.run(new PublishController(request, TrailLimits.STORE, new Random(expectedVersion)));
    }

    void awaitVersion(long version) throws InterruptedException {
        for (Map.Entry<String, EntryDaemon> entry : entries.entrySet()) {
            Await.until(
                    entry.getKey() + " has version " + version,
                    () -> entry.getValue().configVersion() == version);
        }
        for (AgentDaemon agent : agents) {
            Await.until("an agent has version " + version, () -> agent.configVersion() == version);
        }
    }

    int complete(String entry, String key) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(entryUris.get(entry).resolve("/v1/completions"))
                .header("Authorization", "Bearer " + key)
                .POST(HttpRequest.BodyPublishers.ofString("{\"model\":\"tale\",\"prompt\":\"a\",\"max_tokens\":5}"))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    }

    @Override
    public void close() {
        entries.values().forEach(EntryDaemon::close);
        agents.forEach(AgentDaemon::close);
        engines.forEach(EngineStandIn::close);
        store.close();
        vmList.close();
        platform.close();
    }

    private void registerVm(String node, String role, int port, boolean isLeaving) {
        vmList.put(new VmRecord(
                new NodeId(node), role, "127.0.0.1:" + port, new RegionId("amman"), new ZoneId("amman-a"), isLeaving));
    }

    private static URI uri(InetSocketAddress address) {
        return URI.create("http://127.0.0.1:" + address.getPort());
    }
}
