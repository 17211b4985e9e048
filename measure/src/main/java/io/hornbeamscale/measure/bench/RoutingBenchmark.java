package io.hornbeamscale.measure.bench;

import io.hornbeamscale.core.dispatch.BackendDescriptor;
import io.hornbeamscale.core.dispatch.DispatchAction;
import io.hornbeamscale.core.dispatch.DispatcherConfig;
import io.hornbeamscale.core.dispatch.ReservationDispatcher;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.id.ZoneId;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.WorkItem;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Measures the routing decision on one core: submission, grant, first token and end of one request, with a status
 * report for every fourth request. Prints the time per decision by the number of watched backend servers, and the
 * slope.
 */
public final class RoutingBenchmark {
    private static final int[] SERVER_COUNTS = {24, 150, 300, 600, 1_200};
    private static final int WARM_UP_DECISIONS = 200_000;
    private static final int MEASURED_DECISIONS = 300_000;
    private static final int ZONE_COUNT = 8;

    private RoutingBenchmark() {}

    /**
     * Runs the benchmark.
     *
     * @param args not used
     */
    public static void main(String[] args) {
        run(System.out, WARM_UP_DECISIONS, MEASURED_DECISIONS);
    }

    /**
     * Runs the benchmark.
     *
     * @param out the stream that the figures are printed to, not null
     * @param warmUp the number of unmeasured decisions per size before the measurement
     * @param runs the number of measured decisions per size
     */
    public static void run(PrintStream out, int warmUp, int runs) {
        double[] micros = new double[SERVER_COUNTS.length];
        out.printf("%10s %14s %16s %18s%n", "servers", "us/decision", "decisions/s", "us/straggler scan");
        for (int i = 0; i < SERVER_COUNTS.length; i++) {
            ReservationDispatcher dispatcher = create(SERVER_COUNTS[i]);
            decide(dispatcher, SERVER_COUNTS[i], 0, warmUp);
            long start = System.nanoTime();
            decide(dispatcher, SERVER_COUNTS[i], warmUp, runs);
            micros[i] = (System.nanoTime() - start) / 1e3 / runs;
            out.printf(
                    "%10d %14.3f %16.0f %18.1f%n",
                    SERVER_COUNTS[i], micros[i], 1e6 / micros[i], stragglerScanMicros(dispatcher));
        }
        out.printf("slope: %.3f us per 1000 watched servers%n", slope(micros) * 1_000);
    }

    private static ReservationDispatcher create(int servers) {
        RegionId region = new RegionId("r");
        DispatcherConfig config =
                DispatcherConfig.builder(new ZoneId("z0"), region).build();
        ReservationDispatcher dispatcher = new ReservationDispatcher(config, new SplittableRandom(1));
        List<BackendDescriptor> descriptors = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            descriptors.add(new BackendDescriptor(
                    new BackendId("b" + i), new ServiceId("s"), "m", new ZoneId("z" + i % ZONE_COUNT), region));
        }
        dispatcher.watch(descriptors, 0);
        for (int i = 0; i < servers; i++) {
            dispatcher.status(status(i, 0), 0);
        }
        return dispatcher;
    }

    private static BackendStatus status(int server, int round) {
        int load = (server * 31 + round) % 40;
        return new BackendStatus(
                new BackendId("b" + server), 1, 56_000, load * 1_000L, load, 0, 0, 25 + load / 10.0, false, Set.of(1L));
    }

    private static void decide(ReservationDispatcher dispatcher, int servers, int from, int runs) {
        for (int i = from; i < from + runs; i++) {
            if (i % 4 == 0) {
                dispatcher.status(status(i / 4 % servers, i), i / 10);
            }
            WorkItem work = work(i);
            List<DispatchAction> out = dispatcher.submit(work, i / 10);
            DispatchAction.SendReserve r = (DispatchAction.SendReserve) out.get(0);
            dispatcher.granted(r.backend(), r.attempt(), new GrantId(1, i), 1_000, i / 10);
            dispatcher.tokens(r.attempt(), 1, i / 10);
            dispatcher.ended(r.attempt(), i / 10);
        }
    }

    private static WorkItem work(int number) {
        return new WorkItem(
                new RequestId("q" + number),
                new ServiceId("s"),
                new CustomerId("c" + number % 500),
                "short",
                5,
                200,
                1_000,
                List.of((long) number % 97),
                number / 10,
                number / 10 + 30_000L,
                true,
                false,
                false,
                "");
    }

    /** Returns the time of the scan for stragglers that ticks make ten times per second, in microseconds. */
    private static double stragglerScanMicros(ReservationDispatcher dispatcher) {
        int scans = 2_000;
        long start = System.nanoTime();
        for (int i = 0; i < scans; i++) {
            dispatcher.tick(1_000_000L + i * 100L);
        }
        return (System.nanoTime() - start) / 1e3 / scans;
    }

    private static double slope(double[] micros) {
        double meanServers = 0;
        double meanMicros = 0;
        for (int i = 0; i < SERVER_COUNTS.length; i++) {
            meanServers += (double) SERVER_COUNTS[i] / SERVER_COUNTS.length;
            meanMicros += micros[i] / SERVER_COUNTS.length;
        }
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < SERVER_COUNTS.length; i++) {
            covariance += (SERVER_COUNTS[i] - meanServers) * (micros[i] - meanMicros);
            variance += (SERVER_COUNTS[i] - meanServers) * (SERVER_COUNTS[i] - meanServers);
        }
        return covariance / variance;
    }
}
