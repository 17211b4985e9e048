package io.hornbeamscale.core.work;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.util.Arguments;
import java.util.Set;

/**
 * The status of a backend server that its agent sends to the entries.
 *
 * @param backend the backend server, not null
 * @param incarnation the incarnation of the agent
 * @param capacityTokens the engine's memory in tokens, 0 for plain services
 * @param usedTokens the number of tokens in engine memory
 * @param running the number of running requests
 * @param waiting the number of waiting reservations
 * @param expectedWaitMillis the expected wait of a new reservation in milliseconds
 * @param tokenGapMillis the recent mean time between tokens in milliseconds, 0 if no request runs
 * @param isDraining whether the backend server accepts no new work
 * @param cachedPrefixes the hashes of prefixes that the engine probably caches, not null
 */
public record BackendStatus(
        BackendId backend,
        long incarnation,
        long capacityTokens,
        long usedTokens,
        int running,
        int waiting,
        long expectedWaitMillis,
        double tokenGapMillis,
        boolean isDraining,
        Set<Long> cachedPrefixes) {
    /** Checks and copies the parts. */
    public BackendStatus {
        Arguments.notNull(backend, "backend");
        cachedPrefixes = Set.copyOf(Arguments.notNull(cachedPrefixes, "cachedPrefixes"));
    }
}
