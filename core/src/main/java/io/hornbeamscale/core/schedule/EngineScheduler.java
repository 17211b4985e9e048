package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.core.work.BackendStatus;
import io.hornbeamscale.core.work.EngineLoad;
import io.hornbeamscale.core.work.Reservation;
import java.util.List;
import java.util.Map;

/**
 * Decides when one backend server takes new work. Every method returns the actions to carry out, never null. The time
 * is in milliseconds of the process's monotonic clock. Not safe for use by several threads.
 */
public interface EngineScheduler {
    /**
     * Queues a reservation.
     *
     * @param reservation the reservation
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> reserve(Reservation reservation, long nowMillis);

    /**
     * Withdraws a reservation or returns its grant. Unknown attempts are ignored.
     *
     * @param attempt the attempt
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> cancel(AttemptId attempt, long nowMillis);

    /**
     * Uses up a grant.
     *
     * @param attempt the attempt that starts
     * @param grant the grant it presents
     * @param nowMillis the present time
     * @return whether the grant was valid for this attempt, unused and not expired
     */
    boolean start(AttemptId attempt, GrantId grant, long nowMillis);

    /**
     * Notes tokens that the engine emitted.
     *
     * @param attempt the attempt
     * @param count the number of tokens
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> tokens(AttemptId attempt, int count, long nowMillis);

    /**
     * Notes that the engine has taken the memory of a running attempt away.
     *
     * @param attempt the attempt
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> preempted(AttemptId attempt, long nowMillis);

    /**
     * Notes the end of an attempt, whether complete, failed or cancelled.
     *
     * @param attempt the attempt
     * @param isComplete whether the answer is complete, so that its length may be learned
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> ended(AttemptId attempt, boolean isComplete, long nowMillis);

    /**
     * Handles a load report.
     *
     * @param load the report
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> load(EngineLoad load, long nowMillis);

    /**
     * Notes a change of the engine's prefix cache. Such events arrive late, and some are lost.
     *
     * @param hash the hash of the prefix
     * @param isCached whether the prefix entered the cache or left it
     * @param nowMillis the present time
     */
    void prefix(long hash, boolean isCached, long nowMillis);

    /**
     * Replaces the customers' weights. Customers that are not listed have weight 1.
     *
     * @param weights the weights, each greater than 0, not null
     */
    void weights(Map<CustomerId, Double> weights);

    /**
     * Stops new work: refuses what waits and all that comes later.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> drain(long nowMillis);

    /**
     * Expires grants and deadlines and issues grants that have become possible.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> tick(long nowMillis);

    /**
     * Returns the status to send to the entries.
     *
     * @param nowMillis the present time
     * @return the status, never null
     */
    BackendStatus status(long nowMillis);
}
