package io.hornbeamscale.daemon.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

/**
 * Opens many streams at an entry in another process and prints how much heap the entry uses. The agent is simulated in
 * this process by {@link BenchAgent}, so that only the entry's side of the connections is measured.
 */
public final class HeapBenchmark {
    private static final double BYTES_PER_MEGABYTE = 1024.0 * 1024.0;
    private static final int HEAP_READINGS = 20;
    private static final long POLL_INTERVAL_MILLIS = 250;

    @Parameter(names = "--port", required = true, description = "The entry's port for callers")
    private int port;

    @Parameter(names = "--admin", required = true, description = "The entry's admin port")
    private int adminPort;

    @Parameter(names = "--agent", required = true, description = "The port of the agent in the entry's document")
    private int agentPort;

    @Parameter(names = "--open", description = "Open streams")
    private int openStreams = 10_000;

    private HeapBenchmark() {}

    /**
     * Runs the benchmark and prints its figures.
     *
     * @param args the options, not null
     * @throws Exception if a socket fails
     */
    public static void main(String[] args) throws Exception {
        HeapBenchmark benchmark = new HeapBenchmark();
        JCommander.newBuilder().addObject(benchmark).build().parse(args);
        benchmark.run();
        System.exit(0);
    }

    private void run() throws Exception {
        BenchAgent agent = new BenchAgent(loopback(agentPort));
        while (!readMetrics().contains("hornbeamscale_known_agents 1")) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        double before = minHeapMegabytes();
        try (StreamClient client = new StreamClient()) {
            client.open(loopback(port), openStreams, "hold", 1_000);
            client.awaitFirstTokens();
            double after = minHeapMegabytes();
            System.out.printf("streams that received tokens: %d of %d%n", client.streamsWithTokens(), openStreams);
            System.out.printf("entry's heap: %.1f MB before, %.1f MB with open streams%n", before, after);
            System.out.printf("heap for each stream: %.1f KB%n", (after - before) * 1024 / openStreams);
        }
        agent.close();
    }

    /** Returns the least of several readings of the heap, in megabytes, since each reading includes garbage. */
    private double minHeapMegabytes() throws Exception {
        double least = Double.MAX_VALUE;
        for (int i = 0; i < HEAP_READINGS; i++) {
            for (String line : readMetrics().split("\n", -1)) {
                if (line.startsWith("hornbeamscale_heap_used_bytes ")) {
                    least = Math.min(
                            least, Double.parseDouble(line.substring(line.indexOf(' ') + 1)) / BYTES_PER_MEGABYTE);
                }
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        return least;
    }

    private String readMetrics() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + adminPort + "/metrics"))
                .build();
        return HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.ofString())
                .body();
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
