package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.work.WorkItem;

/** What a dispatcher asks its caller to do. */
public sealed interface DispatchAction {
    /**
     * Sends a reservation to an agent.
     *
     * @param backend the backend server
     * @param attempt the attempt
     * @param work the work
     */
    record SendReserve(BackendId backend, AttemptId attempt, WorkItem work) implements DispatchAction {}

    /**
     * Withdraws a reservation, or cancels a running attempt.
     *
     * @param backend the backend server
     * @param attempt the attempt
     */
    record SendCancel(BackendId backend, AttemptId attempt) implements DispatchAction {}

    /**
     * Hands the request over. A keyed call that must not be repeated is claimed first.
     *
     * @param backend the backend server
     * @param attempt the attempt
     * @param grant the grant to use
     * @param work the work
     */
    record SendStart(BackendId backend, AttemptId attempt, GrantId grant, WorkItem work) implements DispatchAction {}

    /**
     * Tells the caller that the request failed.
     *
     * @param request the request
     * @param kind the error
     * @param outcome what is known about the execution
     * @param retryAfterMillis when the caller should come back, 0 for no advice
     */
    record RejectCaller(RequestId request, ErrorKind kind, RunOutcome outcome, long retryAfterMillis)
            implements DispatchAction {}
}
