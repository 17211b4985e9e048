package io.hornbeamscale.daemon;

import io.hornbeamscale.standin.EngineStandIn;
import io.hornbeamscale.standin.PlainStandIn;
import io.hornbeamscale.standin.StoreStandIn;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Two entries, two model agents and one plain agent in separate processes, with stand-ins in the test's process. */
final class ProcessDeployment {
    final EngineStandIn[] engines = new EngineStandIn[2];
    final PlainStandIn plain = PlainStandIn.builder().workMillis(300).build();
    final StoreStandIn store = StoreStandIn.builder().build();
    final DaemonProcesses processes;
    private final HttpClient http = HttpClient.newHttpClient();
    private final int[] entryPorts = {TestSettings.freePort(), TestSettings.freePort()};
    private final int[] adminPorts = {TestSettings.freePort(), TestSettings.freePort()};

    ProcessDeployment(Path directory, long tokenMicros) throws Exception {
        processes = new DaemonProcesses(directory);
        List<Integer> modelPorts = new ArrayList<>();
        int plainPort = TestSettings.freePort();
        String storeUri = "http://127.0.0.1:" + store.start().getPort();
        for (int i = 0; i < engines.length; i++) {
            engines[i] = EngineStandIn.builder().tokenMicros(tokenMicros).build();
            modelPorts.add(TestSettings.freePort());
            processes.start(
                    "m" + i,
                    "agent",
                    agent("m" + i, modelPorts.get(i), engines[i].start().getPort(), "model"));
        }
        processes.start("p0", "agent", agent("p0", plainPort, plain.start().getPort(), "plain"));
        Path document = TestSettings.document(directory, modelPorts, List.of(plainPort));
        for (int i = 0; i < entryPorts.length; i++) {
            processes.start("e" + i, "entry", entry(i, document, storeUri));
        }
        for (int i = 0; i < entryPorts.length; i++) {
            awaitAgents(i, 3);
        }
    }

    /** Waits until an entry has received the status of a number of agents. */
    void awaitAgents(int entry, int count) throws Exception {
        String expected = "\"known_agents\":" + count;
        Await.until(
                "entry " + entry + " knows " + count + " agents",
                () -> status(entry).contains(expected));
    }

    /** Returns the status page of an entry, empty if it is not reachable. */
    String status(int entry) {
        try {
            URI uri = URI.create("http://127.0.0.1:" + adminPorts[entry] + "/status");
            return http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
                    .body();
        } catch (IOException e) {
            return "";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "";
        }
    }

    HttpRequest.Builder request(int entry, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entryPorts[entry] + path))
                .header("Authorization", "Bearer " + TestSettings.API_KEY);
    }

    HttpClient http() {
        return http;
    }

    /** Returns the index of the engine that runs the only generation. */
    int busyEngine() {
        return engines[0].liveStreams() > 0 ? 0 : 1;
    }

    public void close() throws Exception {
        processes.close();
        for (EngineStandIn engine : engines) {
            engine.close();
        }
        plain.close();
        store.close();
    }

    private static String agent(String name, int port, int server, String kind) {
        return "backend: " + name + "\nregion: amman\nzone: amman-a\nlisten: 127.0.0.1:" + port
                + "\nadmin: 127.0.0.1:0\nserver: http://127.0.0.1:" + server + "\nkind: " + kind + "\n";
    }

    private String entry(int index, Path document, String storeUri) {
        return "node: e" + index + "\nregion: amman\nzone: amman-a\nlisten: 127.0.0.1:" + entryPorts[index]
                + "\nadmin: 127.0.0.1:" + adminPorts[index] + "\nframes: 127.0.0.1:0\ndocument: " + document
                + "\nstore: " + storeUri + "\n";
    }
}
