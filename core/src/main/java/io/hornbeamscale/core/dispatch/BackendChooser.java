package io.hornbeamscale.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses backend servers for reservations: the cheapest of a random sample. The sample keeps entries from all choosing
 * the same server between two status reports, and bounds the time of a decision.
 */
final class BackendChooser {
    private static final int SAMPLE_SIZE = 8;
    /** Draws that may hit unusable or repeated servers before the sample counts as complete. */
    private static final int MAX_DRAWS = 3 * SAMPLE_SIZE;
    /** Lists up to this size are looked at completely. */
    private static final int MAX_FULL_SCAN = 12;
    /** The cost of a full memory, in milliseconds of waiting. */
    private static final double FULL_MEMORY_COST_MILLIS = 400;

    private static final double OTHER_ZONE_COST_MILLIS = 2;
    /** The cost of the way to another region and back, twice for reservation and start. */
    private static final double OTHER_REGION_COST_MILLIS = 150;

    private static final double PROBATION_SHARE = 0.5;
    /** The time to compute one prompt token again. */
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
     * Returns up to the given number of usable servers that the request has not reserved at, never null.
     *
     * @param mayLeave whether the link to other regions has room
     */
    List<BackendState> choose(RequestState state, int count, boolean mayLeave, long nowMillis) {
        List<Scored> near = sample(table.inOwnRegion(), state, nowMillis);
        boolean isNearSlow = near.isEmpty() || near.get(0).cost > OTHER_REGION_COST_MILLIS;
        if (mayLeave && isNearSlow && !table.inOtherRegions().isEmpty()) {
            near.addAll(sample(table.inOtherRegions(), state, nowMillis));
            near.sort(Comparator.comparingDouble(s -> s.cost));
        }
        List<BackendState> chosen = new ArrayList<>(count);
        for (Scored s : near) {
            if (chosen.size() == count) {
                break;
            }
            chosen.add(s.backend);
        }
        return chosen;
    }

    private List<Scored> sample(List<BackendState> from, RequestState state, long nowMillis) {
        List<Scored> sample = new ArrayList<>(SAMPLE_SIZE);
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

    private static boolean contains(List<Scored> sample, BackendState b) {
        for (Scored s : sample) {
            if (s.backend == b) {
                return true;
            }
        }
        return false;
    }

    private void consider(BackendState b, RequestState state, List<Scored> sample, long nowMillis) {
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
        sample.add(new Scored(b, cost(b, state, nowMillis)));
    }

    /** Returns what a reservation at the server costs, in milliseconds. */
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
        // A running request counts as well, as young requests hold little memory yet.
        double used = b.status.usedTokens() + (double) b.promptTokensSinceStatus;
        return used / b.status.capacityTokens() + 0.01 * (b.status.running() + b.status.waiting() + own);
    }

    private record Scored(BackendState backend, double cost) {}
}
