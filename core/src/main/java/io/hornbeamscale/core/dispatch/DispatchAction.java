package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.work.WorkItem;

/** An action that a dispatcher requests from its caller. */
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
     * Cancels a reservation or a running attempt.
     *
     * @param backend the backend server
     * @param attempt the attempt
     */
    record SendCancel(BackendId backend, AttemptId attempt) implements DispatchAction {}

    /**
     * Hands a request over to a backend server. A call with an idempotency key that must not be repeated is claimed
     * first.
     *
     * @param backend the backend server
     * @param attempt the attempt
     * @param grant the grant to redeem
     * @param work the work
     */
    record SendStart(BackendId backend, AttemptId attempt, GrantId grant, WorkItem work) implements DispatchAction {}

    /**
     * Reports the failure of a request to its caller.
     *
     * @param request the request
     * @param kind the error
     * @param outcome what is known about the execution
     * @param retryAfterMillis the advised retry delay in milliseconds, 0 for none
     */
    record RejectCaller(RequestId request, ErrorKind kind, RunOutcome outcome, long retryAfterMillis)
            implements DispatchAction {}
}
