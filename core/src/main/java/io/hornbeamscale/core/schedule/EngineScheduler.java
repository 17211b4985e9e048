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
 * Decides when one backend server admits new work. Methods that return actions to carry out never return null. The time
 * is in milliseconds of the monotonic clock of the process. Not safe for use by several threads.
 */
public interface EngineScheduler {
    /**
     * Queues a reservation, or refuses it. A repeated reservation is ignored.
     *
     * @param reservation the reservation
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> reserve(Reservation reservation, long nowMillis);

    /**
     * Cancels a reservation or returns its grant. Unknown and started attempts are ignored.
     *
     * @param attempt the attempt
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> cancel(AttemptId attempt, long nowMillis);

    /**
     * Redeems a grant.
     *
     * @param attempt the attempt that starts
     * @param grant the grant that the attempt presents
     * @param nowMillis the present time
     * @return whether the grant was valid for this attempt, unused and not expired
     */
    boolean start(AttemptId attempt, GrantId grant, long nowMillis);

    /**
     * Records tokens that the engine emitted.
     *
     * @param attempt the attempt
     * @param count the number of tokens
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> tokens(AttemptId attempt, int count, long nowMillis);

    /**
     * Records that the engine preempted a running attempt and evicted its memory.
     *
     * @param attempt the attempt
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> preempted(AttemptId attempt, long nowMillis);

    /**
     * Records the end of an attempt, whether complete, failed or cancelled.
     *
     * @param attempt the attempt
     * @param isComplete whether the response is complete, so that its length is used for estimates
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> ended(AttemptId attempt, boolean isComplete, long nowMillis);

    /**
     * Handles a load report of the engine.
     *
     * @param load the report
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> load(EngineLoad load, long nowMillis);

    /**
     * Records a change of the engine's prefix cache. Such events arrive late, and some are lost.
     *
     * @param hash the hash of the prefix
     * @param isCached whether the prefix was added to the cache, otherwise it was removed
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
     * Stops admission: refuses all waiting and all later reservations.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    List<ScheduleAction> drain(long nowMillis);

    /**
     * Expires grants and deadlines, and issues grants that have become possible.
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
