package io.hornbeamscale.core.work;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.util.Arguments;

/**
 * A request's place in the queue of one agent.
 *
 * @param attempt the attempt that waits, not null
 * @param entry the entry that holds the request, not null
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
