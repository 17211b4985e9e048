package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.WorkItem;
import java.util.List;

/**
 * Decides where the requests of one entry run. Methods that return actions to carry out never return null. The time is
 * in milliseconds of the process's monotonic clock. Not safe for use by several threads.
 */
public interface Dispatcher {
    /**
     * Replaces the set of backend servers that this entry watches. Servers that are no longer listed receive no new
     * reservations; attempts that run there continue.
     *
     * @param descriptors the watched backend servers, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<DispatchAction> watch(List<BackendDescriptor> descriptors, long nowMillis);

    /**
     * Accepts a new request. A repeated request is ignored.
     *
     * @param work the request
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<DispatchAction> submit(WorkItem work, long nowMillis);

    /**
     * Handles a grant. A grant that is no longer needed is returned to its agent.
     *
     * @param backend the granting backend server
     * @param attempt the attempt
     * @param grant the grant
     * @param validMillis how long the grant is valid, in milliseconds from its arrival
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<DispatchAction> granted(BackendId backend, AttemptId attempt, GrantId grant, long validMillis, long nowMillis);

    /**
     * Handles the refusal of a reservation or of a start.
     *
     * @param backend the refusing backend server
     * @param attempt the attempt
     * @param kind the reason
     * @param retryAfterMillis the advised retry delay in milliseconds, 0 for none
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<DispatchAction> refused(
            BackendId backend, AttemptId attempt, ErrorKind kind, long retryAfterMillis, long nowMillis);

    /**
     * Records tokens that arrived.
     *
     * @param attempt the attempt
     * @param count the number of tokens
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<DispatchAction> tokens(AttemptId attempt, int count, long nowMillis);

    /**
     * Records that an attempt ended with a complete response.
     *
     * @param attempt the attempt
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<DispatchAction> ended(AttemptId attempt, long nowMillis);

    /**
     * Handles a failed attempt: runs the request again elsewhere or rejects the caller.
     *
     * @param attempt the attempt
     * @param kind the error
     * @param outcome what is known about the execution
     * @param isDelivered whether the caller has received part of the response
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<DispatchAction> failed(
            AttemptId attempt, ErrorKind kind, RunOutcome outcome, boolean isDelivered, long nowMillis);

    /**
     * Handles the disconnection of a caller.
     *
     * @param request the request
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<DispatchAction> cancelled(RequestId request, long nowMillis);

    /**
     * Handles the status of a backend server. The first status of a server adds the server, unless {@link #watch} was
     * called before.
     *
     * @param status the status
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<DispatchAction> status(BackendStatus status, long nowMillis);

    /**
     * Handles the loss of the connection to a backend server's agent. Waiting reservations move to other servers. The
     * caller of this interface reports attempts that were handed over through {@link #failed} once their outcome is
     * known.
     *
     * @param backend the backend server
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<DispatchAction> lost(BackendId backend, long nowMillis);

    /**
     * Returns whether the response of an attempt goes to the caller. Tokens of other attempts are dropped.
     *
     * @param attempt the attempt
     * @return whether the attempt is handed over and neither replaced nor cancelled
     */
    boolean isLive(AttemptId attempt);

    /**
     * Checks deadlines and delays. To be called every few milliseconds to tens of milliseconds.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<DispatchAction> tick(long nowMillis);
}
