package io.hornbeamscale.daemon.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.hornbeamscale.daemon.LocalDeployment;
import io.hornbeamscale.standin.EngineStandIn;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.HdrHistogram.Histogram;

/**
 * Compares the time between tokens over the whole path of entry and agent with the time over a direct connection to the
 * stand-in engine. All run in one process and use the same client.
 */
public final class PathBenchmark {
    private static final int MAX_RUNNING = 4_096;

    @Parameter(names = "--streams", description = "Concurrent streams of the latency comparison")
    private int streams = 200;

    @Parameter(names = "--tokens", description = "Tokens of each stream")
    private int tokens = 300;

    @Parameter(names = "--rounds", description = "Alternating rounds of direct and through")
    private int rounds = 3;

    @Parameter(names = "--token-micros", description = "The engine's time between tokens, in microseconds")
    private long tokenMicros = 20_000;

    private PathBenchmark() {}

    /**
     * Runs the benchmark and prints its figures.
     *
     * @param args the options, not null
     * @throws Exception if a socket fails
     */
    public static void main(String[] args) throws Exception {
        PathBenchmark benchmark = new PathBenchmark();
        JCommander.newBuilder().addObject(benchmark).build().parse(args);
        benchmark.measureLatency();
        System.exit(0);
    }

    private void measureLatency() throws Exception {
        EngineStandIn engine = createEngine(tokenMicros);
        InetSocketAddress address = engine.start();
        try (LocalDeployment deployment = new LocalDeployment(address, MAX_RUNNING)) {
            Histogram direct = new Histogram(3);
            Histogram through = new Histogram(3);
            runRound(address, 50);
            runRound(deployment.address(), 50);
            for (int i = 0; i < rounds; i++) {
                direct.add(runRound(address, tokens));
                through.add(runRound(deployment.address(), tokens));
            }
            System.out.printf("streams %d, tokens %d, rounds %d%n", streams, tokens, rounds);
            for (double p : new double[] {50, 95, 99}) {
                long d = direct.getValueAtPercentile(p);
                long t = through.getValueAtPercentile(p);
                System.out.printf(
                        "time between tokens, percentile %.0f: direct %d us, through %d us, ratio %.3f%n",
                        p, d, t, (double) t / d);
            }
        } finally {
            engine.close();
        }
    }

    private Histogram runRound(InetSocketAddress address, int count) throws IOException {
        try (StreamClient client = new StreamClient()) {
            client.open(address, streams, "count", count);
            client.awaitEnds();
            return client.tokenIntervals();
        }
    }

    private EngineStandIn createEngine(long micros) {
        return EngineStandIn.builder()
                .tokenMicros(micros)
                .maxRunning(4 * streams)
                .memoryTokens(Long.MAX_VALUE / 4)
                .build();
    }
}
