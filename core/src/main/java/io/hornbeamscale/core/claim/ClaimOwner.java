package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.util.Arguments;

/**
 * The attempt that holds a claim, with the data needed to ask its agent about it. A grant is used by one claim only.
 *
 * @param attempt the attempt, not null
 * @param backend the backend server that granted it, not null
 * @param grant the grant, not null
 */
public record ClaimOwner(AttemptId attempt, BackendId backend, GrantId grant) {
    /** Checks the parts. */
    public ClaimOwner {
        Arguments.notNull(attempt, "attempt");
        Arguments.notNull(backend, "backend");
        Arguments.notNull(grant, "grant");
    }
}
