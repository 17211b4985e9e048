package io.hornbeamscale.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses the backend servers with the lowest cost from a random sample. The sample keeps entries from all choosing the
 * same server between two status reports, and limits the time of a decision.
 */
final class BackendChooser {
    private static final int SAMPLE_SIZE = 8;
    /** The maximum number of draws, some of which may hit unusable or repeated servers. */
    private static final int MAX_DRAWS = 3 * SAMPLE_SIZE;
    /** The maximum size of a list of which all servers are considered. */
    private static final int MAX_FULL_SCAN = 12;
    /** The cost of full engine memory, as a wait in milliseconds. */
    private static final double FULL_MEMORY_COST_MILLIS = 400;

    private static final double OTHER_ZONE_COST_MILLIS = 2;
    /**
     * The cost of two round trips to another region, one for the reservation and one for the start, in milliseconds.
     */
    private static final double OTHER_REGION_COST_MILLIS = 150;

    /** The share of decisions for which a server on probation is considered. */
    private static final double PROBATION_SHARE = 0.5;
    /** The time to process a prompt token that is not cached, in milliseconds. */
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.05;

    private final DispatcherConfig config;
    private final BackendTable table;
    private final RandomGenerator random;

    BackendChooser(DispatcherConfig config, BackendTable table, RandomGenerator random) {
        this.config = config;
        this.table = table;
        this.random = random;
    }

    /**
     * Returns up to the given number of usable servers at which the request has no reservation, never null.
     *
     * @param mayUseOtherRegions whether the budget for traffic with other regions has room
     */
    List<BackendState> choose(RequestState state, int count, boolean mayUseOtherRegions, long nowMillis) {
        List<Candidate> candidates = sample(table.inOwnRegion(), state, nowMillis);
        boolean isOwnRegionSlow = candidates.isEmpty() || candidates.get(0).cost > OTHER_REGION_COST_MILLIS;
        if (mayUseOtherRegions && isOwnRegionSlow && !table.inOtherRegions().isEmpty()) {
            candidates.addAll(sample(table.inOtherRegions(), state, nowMillis));
            candidates.sort(Comparator.comparingDouble(s -> s.cost));
        }
        List<BackendState> chosen = new ArrayList<>(count);
        for (Candidate s : candidates) {
            if (chosen.size() == count) {
                break;
            }
            chosen.add(s.backend);
        }
        return chosen;
    }

    private List<Candidate> sample(List<BackendState> from, RequestState state, long nowMillis) {
        List<Candidate> sample = new ArrayList<>(SAMPLE_SIZE);
        if (from.size() <= MAX_FULL_SCAN) {
            for (BackendState b : from) {
                consider(b, state, sample, nowMillis);
            }
        } else {
            for (int i = 0; i < MAX_DRAWS && sample.size() < SAMPLE_SIZE; i++) {
                BackendState b = from.get(random.nextInt(from.size()));
                if (!contains(sample, b)) {
                    consider(b, state, sample, nowMillis);
                }
            }
        }
        sample.sort(Comparator.comparingDouble(s -> s.cost));
        return sample;
    }

    private static boolean contains(List<Candidate> sample, BackendState b) {
        for (Candidate s : sample) {
            if (s.backend == b) {
                return true;
            }
        }
        return false;
    }

    private void consider(BackendState b, RequestState state, List<Candidate> sample, long nowMillis) {
        boolean isCandidate = b.isUsable()
                && b.serves(state.work)
                && !state.reserved.contains(b.backend)
                && !state.avoided.contains(b.backend)
                && !state.runsAt(b.backend);
        if (!isCandidate || b.speed == BackendState.Speed.EJECTED) {
            return;
        }
        if (b.speed == BackendState.Speed.PROBATION && random.nextDouble() > PROBATION_SHARE) {
            return;
        }
        sample.add(new Candidate(b, cost(b, state, nowMillis)));
    }

    /** Returns the cost of a reservation at the server, in milliseconds. */
    double cost(BackendState b, RequestState state, long nowMillis) {
        double cost = b.status == null ? 0 : b.status.expectedWaitMillis();
        cost += FULL_MEMORY_COST_MILLIS * load(b) + PREFILL_MILLIS_PER_TOKEN * b.promptTokensSinceStatus;
        if (b.descriptor != null && !b.descriptor.region().equals(config.region())) {
            cost += OTHER_REGION_COST_MILLIS;
        } else if (b.descriptor != null && !b.descriptor.zone().equals(config.zone())) {
            cost += OTHER_ZONE_COST_MILLIS;
        }
        if (!state.work.prefixHashes().isEmpty() && b.status != null) {
            double match = b.prefixes.match(state.work.prefixHashes(), b.status.cachedPrefixes(), nowMillis);
            cost -= PREFILL_MILLIS_PER_TOKEN * match * state.work.promptTokens();
        }
        return cost;
    }

    private static double load(BackendState b) {
        if (b.status == null) {
            return 0;
        }
        int own = b.reservationsSinceStatus;
        if (b.status.capacityTokens() == 0) {
            return 0.01 * (b.status.running() + b.status.waiting() + own);
        }
        // Running requests count as well, since new requests use little memory yet.
        double used = b.status.usedTokens() + (double) b.promptTokensSinceStatus;
        return used / b.status.capacityTokens() + 0.01 * (b.status.running() + b.status.waiting() + own);
    }

    private record Candidate(BackendState backend, double cost) {}
}
