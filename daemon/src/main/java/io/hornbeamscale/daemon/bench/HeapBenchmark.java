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
 * Opens many streams at an entry that runs as a process of its own, and prints the entry's heap. The agent is replaced
 * by one in this process that grants at once and emits a few tokens, so that only the entry's sockets count.
 */
public final class HeapBenchmark {
    private static final double MEGABYTE = 1024.0 * 1024.0;
    private static final int SETTLE_READS = 20;
    private static final long SETTLE_MILLIS = 250;

    @Parameter(names = "--port", required = true, description = "The entry's port for callers")
    private int port;

    @Parameter(names = "--admin", required = true, description = "The entry's admin port")
    private int admin;

    @Parameter(names = "--agent", required = true, description = "The port of the agent in the entry's document")
    private int agent;

    @Parameter(names = "--open", description = "Open streams")
    private int open = 10_000;

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
        BenchAgent fake = new BenchAgent(loopback(agent));
        while (!metrics().contains("hornbeamscale_known_agents 1")) {
            Thread.sleep(SETTLE_MILLIS);
        }
        double before = leastHeap();
        try (StreamClient client = new StreamClient()) {
            client.open(loopback(port), open, "hold", 1_000);
            client.awaitFirstTokens();
            double after = leastHeap();
            System.out.printf("streams that received tokens: %d of %d%n", client.emitting(), open);
            System.out.printf("entry's heap: %.1f MB before, %.1f MB with open streams%n", before, after);
            System.out.printf("heap for each stream: %.1f KB%n", (after - before) * 1024 / open);
        }
        fake.close();
    }

    /** Returns the least of several readings, in megabytes, since a reading includes garbage. */
    private double leastHeap() throws Exception {
        double least = Double.MAX_VALUE;
        for (int i = 0; i < SETTLE_READS; i++) {
            for (String line : metrics().split("\n", -1)) {
                if (line.startsWith("hornbeamscale_heap_used_bytes ")) {
                    least = Math.min(least, Double.parseDouble(line.substring(line.indexOf(' ') + 1)) / MEGABYTE);
                }
            }
            Thread.sleep(SETTLE_MILLIS);
        }
        return least;
    }

    private String metrics() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + admin + "/metrics"))
                .build();
        return HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.ofString())
                .body();
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
