package io.hornbeamscale.core.work;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.util.Arguments;

/**
 * A request of an attempt for a grant, which waits in the queue of one agent.
 *
 * @param attempt the attempt, not null
 * @param entry the entry that owns the request, not null
 * @param work the description of the work, not null
 */
public record Reservation(AttemptId attempt, NodeId entry, WorkItem work) {
    /** Checks the parts. */
    public Reservation {
        Arguments.notNull(attempt, "attempt");
        Arguments.notNull(entry, "entry");
        Arguments.notNull(work, "work");
    }
}
