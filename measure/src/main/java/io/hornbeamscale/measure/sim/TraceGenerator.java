package io.hornbeamscale.measure.sim;

import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.work.WorkItem;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** Generates the requests of a scenario. They depend on the seed but not on the policy. */
final class TraceGenerator {
    private static final int MAX_TOKENS = 32_768;
    private static final int PREFIX_TOKENS = 128;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Scenario scenario;
    private final Random random;
    private double slowVariation;
    private final List<RequestSpec> specs = new ArrayList<>();

    private TraceGenerator(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random =
                new Random(seed * 7_919 + scenario.name().replace("-none", "").hashCode());
    }

    static List<RequestSpec> requests(Scenario scenario, long seed) {
        TraceGenerator generator = new TraceGenerator(scenario, seed);
        generator.generate();
        generator.specs.sort(Comparator.comparingLong(RequestSpec::arrivalMicros));
        return generator.specs;
    }

    private void generate() {
        double capacity =
                scenario.backendTokensPerSecond() * scenario.backends().size();
        double rate = scenario.offeredLoad() * capacity / meanOutputOfRandomRequests();
        double[] factors = demandFactors();
        for (int second = 0; second < scenario.arrivalSeconds(); second++) {
            double factor = scenario.isSurge(second) ? 4 : factors[second];
            addArrivals(second, rate * factor, -1);
            if (scenario.floodLoad() > 0 && second >= Scenario.WARM_UP_SECONDS) {
                addArrivals(second, scenario.floodLoad() * capacity / scenario.meanOutput(), 0);
            }
        }
        for (int i = 0; i < scenario.initialBacklog(); i++) {
            add(
                    Scenario.WARM_UP_SECONDS * MICROS_PER_SECOND + random.nextInt((int) MICROS_PER_SECOND),
                    pickProfile(),
                    pickCustomer(),
                    0);
        }
        if (scenario.hugeRequestIntervalSeconds() > 0) {
            addHugeRequests();
        }
    }

    /** Returns the mean output per random request for which random and huge requests together offer the stated load. */
    private double meanOutputOfRandomRequests() {
        if (scenario.hugeRequestIntervalSeconds() == 0) {
            return scenario.meanOutput();
        }
        double capacity =
                scenario.backendTokensPerSecond() * scenario.backends().size() * scenario.offeredLoad();
        double huge = 50 * scenario.meanOutput() / scenario.hugeRequestIntervalSeconds();
        return scenario.meanOutput() / (1 - huge / capacity);
    }

    private void addHugeRequests() {
        int tokens = (int) (50 * scenario.meanOutput());
        for (double t = 5; t < scenario.arrivalSeconds() - 40; t += scenario.hugeRequestIntervalSeconds()) {
            add((long) (t * MICROS_PER_SECOND), scenario.workProfiles().get(1), pickCustomer(), tokens);
        }
    }

    /** Returns a factor for each second with mean 1 over the run, so that each seed offers the stated load. */
    private double[] demandFactors() {
        double[] factors = new double[scenario.arrivalSeconds()];
        double sum = 0;
        for (int i = 0; i < factors.length; i++) {
            factors[i] = nextDemandFactor();
            sum += factors[i];
        }
        for (int i = 0; i < factors.length; i++) {
            factors[i] *= factors.length / sum;
        }
        return factors;
    }

    /** Returns a random factor that varies from second to second and over about ten seconds. */
    private double nextDemandFactor() {
        double correlation = 0.9;
        slowVariation = correlation * slowVariation + Math.sqrt(1 - correlation * correlation) * random.nextGaussian();
        double fastVariation = random.nextGaussian();
        double sigma = 0.25;
        return Math.exp(sigma * (slowVariation + fastVariation) - sigma * sigma);
    }

    private void addArrivals(int second, double rate, int customer) {
        double at = -Math.log(1 - random.nextDouble()) / rate;
        while (at < 1) {
            add((long) ((second + at) * MICROS_PER_SECOND), pickProfile(), customer < 0 ? pickCustomer() : customer, 0);
            at += -Math.log(1 - random.nextDouble()) / rate;
        }
    }

    private WorkProfile pickProfile() {
        double pick = random.nextDouble();
        for (WorkProfile p : scenario.workProfiles()) {
            pick -= p.share();
            if (pick < 0) {
                return p;
            }
        }
        return scenario.workProfiles().get(0);
    }

    private int pickCustomer() {
        double pick = random.nextDouble();
        for (int i = 0; i < scenario.customerShares().size(); i++) {
            pick -= scenario.customerShares().get(i);
            if (pick < 0) {
                return i;
            }
        }
        return 0;
    }

    private void add(long atMicros, WorkProfile profile, int customer, int fixedTokens) {
        double meanLog = Math.log(profile.outputTokens()) - profile.sigma() * profile.sigma() / 2;
        int drawn = (int) Math.round(Math.exp(meanLog + profile.sigma() * random.nextGaussian()));
        int output = Math.max(1, Math.min(fixedTokens > 0 ? fixedTokens : drawn, MAX_TOKENS));
        int prompt = PREFIX_TOKENS
                + (int) Math.max(8, (profile.promptTokens() - PREFIX_TOKENS) * (0.5 + random.nextDouble()));
        long arrival = atMicros / 1_000;
        WorkItem work = new WorkItem(
                new RequestId("q" + specs.size()),
                new ServiceId("model"),
                new CustomerId("c" + customer),
                profile.kind(),
                profile.priority(),
                prompt,
                MAX_TOKENS,
                List.of((long) customer * 16 + profile.kind().length()),
                arrival,
                arrival + (fixedTokens > 0 ? 120_000 : profile.patienceMillis()),
                true,
                false,
                false,
                "");
        boolean isShort = profile.kind().equals("short");
        boolean isMeasured = atMicros >= Scenario.WARM_UP_SECONDS * MICROS_PER_SECOND;
        int entry = random.nextInt(scenario.entries().size());
        specs.add(new RequestSpec(work, atMicros, entry, output, PREFIX_TOKENS, isShort, isMeasured));
    }
}
