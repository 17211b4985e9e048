package io.hornbeamscale.daemon;

import io.hornbeamscale.core.document.Sha256;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Creates settings and documents for daemons on the loopback address. */
final class TestSettings {
    static final String API_KEY = "sk-test-0123456789";

    private static final int FIRST_PORT = 27_000;
    private static final int PORTS_PER_PROCESS = 250;
    private static final int PROCESSES = 20;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(FIRST_PORT + (int) (ProcessHandle.current().pid() % PROCESSES) * PORTS_PER_PROCESS);

    private TestSettings() {}

    /**
     * Returns a free port below the ephemeral port range, so that neither a connection nor a server on port 0 takes it
     * before it is used.
     */
    static int freePort() {
        while (true) {
            int port = NEXT_PORT.getAndIncrement();
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // Another process uses the port; the next one is tried.
            }
        }
    }

    static InetSocketAddress loopback(int port) {
        return Addresses.loopback(port);
    }

    static AgentSettings agent(String backend, int port, InetSocketAddress server, String kind) {
        return new AgentSettings(
                backend,
                "amman",
                "amman-a",
                loopback(port),
                loopback(0),
                URI.create("http://127.0.0.1:" + server.getPort()),
                kind,
                kind.equals("plain") ? 0 : 100_000,
                64,
                null,
                null,
                "text");
    }

    static EntrySettings entry(String node, Path document) {
        return new EntrySettings(
                node,
                "amman",
                "amman-a",
                loopback(0),
                loopback(0),
                loopback(0),
                List.of(),
                "amman",
                null,
                null,
                null,
                document,
                16 * 1024,
                20_000,
                "text");
    }

    /** Writes a document with a model service, a plain service, and one backend server for each agent port. */
    static Path document(Path directory, List<Integer> modelPorts, List<Integer> plainPorts) {
        StringBuilder yaml = new StringBuilder();
        yaml.append("services:\n");
        yaml.append("  - {name: stories, kind: model, models: [tale], nonIdempotent: [], deduplicatesKeys: false}\n");
        yaml.append("  - {name: bookings, kind: plain, models: [], nonIdempotent: ['POST /book'], "
                + "deduplicatesKeys: false}\n");
        yaml.append("customers:\n  - {name: petra, keyHashes: [" + Sha256.hex(API_KEY) + "], "
                + "services: [stories, bookings], weight: 1, requestsPerSecond: 10000, tokensPerSecond: 1000000}\n");
        yaml.append("models:\n  - {name: tale, version: '1', adapters: [], maxOutputTokens: 20000, "
                + "typicalOutputTokens: 100}\n");
        yaml.append("workKinds:\n  - {name: short, priority: 5, maxWaitMillis: 20000}\n");
        yaml.append("regions:\n  - {name: amman, zones: [amman-a], linkBytesPerSecond: 2500000}\n");
        yaml.append("backends:\n");
        for (int i = 0; i < modelPorts.size(); i++) {
            yaml.append(backend("m" + i, "stories", "tale", 100_000, modelPorts.get(i)));
        }
        for (int i = 0; i < plainPorts.size(); i++) {
            yaml.append(backend("p" + i, "bookings", "''", 0, plainPorts.get(i)));
        }
        try {
            return Files.writeString(directory.resolve("document.yaml"), yaml);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String backend(String name, String service, String model, int memory, int port) {
        return "  - {name: " + name + ", service: " + service + ", region: amman, zone: amman-a, address: '127.0.0.1:"
                + port + "', model: " + model + ", memoryTokens: " + memory
                + ", maxRunning: 64, checksFencing: true, honoursPriorities: false}\n";
    }
}
