package io.hornbeamscale.measure.sim;

import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.work.WorkItem;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** Generates the requests of a scenario; the same seed gives every policy the same requests. */
final class Trace {
    private static final int MAX_TOKENS = 32_768;
    private static final int PREFIX_TOKENS = 128;
    private static final long MICROS = 1_000_000;

    private final Scenario scenario;
    private final Random random;
    private double swell;
    private final List<RequestSpec> specs = new ArrayList<>();

    private Trace(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random =
                new Random(seed * 7_919 + scenario.name().replace("-none", "").hashCode());
    }

    static List<RequestSpec> of(Scenario scenario, long seed) {
        Trace t = new Trace(scenario, seed);
        t.generate();
        t.specs.sort(Comparator.comparingLong(RequestSpec::arrivalMicros));
        return t.specs;
    }

    private void generate() {
        double capacity = scenario.capacity() * scenario.runners().size();
        double rate = scenario.load() * capacity / offeredMean();
        double[] gusts = gusts();
        for (int second = 0; second < scenario.seconds(); second++) {
            double factor = scenario.isCrest(second) ? 4 : gusts[second];
            arrivals(second, rate * factor, -1);
            if (scenario.flood() > 0 && second >= Scenario.WARM_UP_SECONDS) {
                arrivals(second, scenario.flood() * capacity / scenario.meanOutput(), 0);
            }
        }
        for (int i = 0; i < scenario.backlog(); i++) {
            add(Scenario.WARM_UP_SECONDS * MICROS + random.nextInt((int) MICROS), shape(), customer(), 0);
        }
        if (scenario.hugeEverySeconds() > 0) {
            addHuge();
        }
    }

    /** The mean output per request when the huge generations are part of the load. */
    private double offeredMean() {
        if (scenario.hugeEverySeconds() == 0) {
            return scenario.meanOutput();
        }
        double capacity = scenario.capacity() * scenario.runners().size() * scenario.load();
        double huge = 50 * scenario.meanOutput() / scenario.hugeEverySeconds();
        return scenario.meanOutput() / (1 - huge / capacity);
    }

    private void addHuge() {
        int tokens = (int) (50 * scenario.meanOutput());
        for (double t = 5; t < scenario.seconds() - 40; t += scenario.hugeEverySeconds()) {
            add((long) (t * MICROS), scenario.shapes().get(1), customer(), tokens);
        }
    }

    /** Factors with mean 1 over the run, so that each seed offers the stated load. */
    private double[] gusts() {
        double[] gusts = new double[scenario.seconds()];
        double sum = 0;
        for (int i = 0; i < gusts.length; i++) {
            gusts[i] = gust();
            sum += gusts[i];
        }
        for (int i = 0; i < gusts.length; i++) {
            gusts[i] *= gusts.length / sum;
        }
        return gusts;
    }

    /** Varies from second to second, and over about ten seconds. */
    private double gust() {
        double keep = 0.9;
        swell = keep * swell + Math.sqrt(1 - keep * keep) * random.nextGaussian();
        double quick = random.nextGaussian();
        double sigma = 0.25;
        return Math.exp(sigma * (swell + quick) - sigma * sigma);
    }

    private void arrivals(int second, double rate, int customer) {
        double at = -Math.log(1 - random.nextDouble()) / rate;
        while (at < 1) {
            add((long) ((second + at) * MICROS), shape(), customer < 0 ? customer() : customer, 0);
            at += -Math.log(1 - random.nextDouble()) / rate;
        }
    }

    private WorkShape shape() {
        double pick = random.nextDouble();
        for (WorkShape s : scenario.shapes()) {
            pick -= s.share();
            if (pick < 0) {
                return s;
            }
        }
        return scenario.shapes().get(0);
    }

    private int customer() {
        double pick = random.nextDouble();
        for (int i = 0; i < scenario.customerShares().size(); i++) {
            pick -= scenario.customerShares().get(i);
            if (pick < 0) {
                return i;
            }
        }
        return 0;
    }

    private void add(long atMicros, WorkShape shape, int customer, int fixedTokens) {
        double log = Math.log(shape.outputTokens()) - shape.sigma() * shape.sigma() / 2;
        int drawn = (int) Math.round(Math.exp(log + shape.sigma() * random.nextGaussian()));
        int output = Math.max(1, Math.min(fixedTokens > 0 ? fixedTokens : drawn, MAX_TOKENS));
        int prompt =
                PREFIX_TOKENS + (int) Math.max(8, (shape.promptTokens() - PREFIX_TOKENS) * (0.5 + random.nextDouble()));
        long arrival = atMicros / 1_000;
        WorkItem work = new WorkItem(
                new RequestId("q" + specs.size()),
                new ServiceId("model"),
                new CustomerId("c" + customer),
                shape.kind(),
                shape.priority(),
                prompt,
                MAX_TOKENS,
                List.of((long) customer * 16 + shape.kind().length()),
                arrival,
                arrival + (fixedTokens > 0 ? 120_000 : shape.patienceMillis()),
                true,
                false,
                false,
                "");
        boolean isShort = shape.kind().equals("short");
        boolean isMeasured = atMicros >= Scenario.WARM_UP_SECONDS * MICROS;
        int entry = random.nextInt(scenario.entries().size());
        specs.add(new RequestSpec(work, atMicros, entry, output, PREFIX_TOKENS, isShort, isMeasured));
    }
}
