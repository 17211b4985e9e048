package io.hornbeamscale.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Draws backend servers for a reservation at random from the usable ones. */
final class BackendChooser {
    private final BackendTable table;
    private final RandomGenerator random;

    BackendChooser(BackendTable table, RandomGenerator random) {
        this.table = table;
        this.random = random;
    }

    /** Returns up to the given number of usable servers that the request has not reserved at, never null. */
    List<BackendState> choose(RequestState state, int count, long nowMillis) {
        List<BackendState> chosen = draw(state, count, nowMillis, false);
        if (chosen.isEmpty() && state.reserved.isEmpty() && !state.avoided.isEmpty()) {
            return draw(state, count, nowMillis, true);
        }
        return chosen;
    }

    private List<BackendState> draw(RequestState state, int count, long nowMillis, boolean allowAvoided) {
        List<BackendState> usable = new ArrayList<>();
        for (BackendState s : table.all()) {
            if (isCandidate(s, state, nowMillis) && (allowAvoided || !state.avoided.contains(s.backend))) {
                usable.add(s);
            }
        }
        List<BackendState> chosen = new ArrayList<>(count);
        while (chosen.size() < count && !usable.isEmpty()) {
            chosen.add(usable.remove(random.nextInt(usable.size())));
        }
        return chosen;
    }

    private static boolean isCandidate(BackendState s, RequestState state, long nowMillis) {
        return s.isUsable(nowMillis)
                && s.serves(state.work)
                && !state.reserved.contains(s.backend)
                && !state.runsAt(s.backend);
    }
}
