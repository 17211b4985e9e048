package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.NodeId;

/** An action that an engine scheduler requests from its caller. */
public sealed interface ScheduleAction {
    /**
     * Sends a grant.
     *
     * @param entry the entry that holds the request
     * @param attempt the attempt
     * @param grant the grant
     * @param validMillis how long the grant is valid, in milliseconds
     */
    record SendGrant(NodeId entry, AttemptId attempt, GrantId grant, long validMillis) implements ScheduleAction {}

    /**
     * Refuses a reservation.
     *
     * @param entry the entry that holds the request
     * @param attempt the attempt
     * @param kind the reason
     * @param retryAfterMillis the advised retry delay in milliseconds, 0 for none
     */
    record SendRefuse(NodeId entry, AttemptId attempt, ErrorKind kind, long retryAfterMillis)
            implements ScheduleAction {}
}
