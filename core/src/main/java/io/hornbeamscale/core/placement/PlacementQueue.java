package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Queues generations at an entry until a server can start to process their prompts, for load peaks that exceed the
 * prefill capacity of the engines for some seconds. A queued request goes to the first server with room, whereas a
 * request that waits at a server is bound to it. Priorities are converted to a difference in arrival time, so that more
 * urgent requests go first but no priority starves. A request that cannot be placed in time is refused at once, with
 * the expected wait. Not safe for use by several threads.
 *
 * @param <T> the type of the requests
 */
public final class PlacementQueue<T> {
    /** The arrival time difference that equals one priority level, in milliseconds. */
    static final long MILLIS_PER_PRIORITY = 300;

    /** The prompt tokens that one server processes per millisecond while it also generates responses. */
    public static final double PREFILL_TOKENS_PER_MILLI = 7;

    /** The maximum wait as a share of the time until the deadline; the rest is needed for the response. */
    private static final double MAX_WAIT_DEADLINE_SHARE = 0.4;

    /**
     * The maximum wait as a multiple of the objective for the first event. Callers abandon streams without an event
     * after about four times the objective.
     */
    private static final double MAX_WAIT_OBJECTIVES = 2;

    private final List<QueuedRequest<T>> waiting = new ArrayList<>();

    /**
     * Adds a request if its expected wait does not exceed its maximum wait.
     *
     * @param request the request, not null
     * @param requirements the requirements of the request, not null
     * @param servers the number of servers that take requests, in which a server with a request limit counts as a part
     * @param nowMillis the present time
     * @return empty if the request was added, otherwise the expected wait after which it may be retried, in
     *     milliseconds
     */
    public Optional<Long> offer(T request, Requirements requirements, double servers, long nowMillis) {
        Arguments.notNull(request, "request");
        long expected = expectedWaitMillis(requirements, servers);
        if (expected > maxWaitMillis(requirements, nowMillis)) {
            return Optional.of(expected);
        }
        int index = 0;
        while (index < waiting.size() && !isBefore(requirements, waiting.get(index).requirements)) {
            index++;
        }
        waiting.add(index, new QueuedRequest<>(request, requirements));
        return Optional.empty();
    }

    /**
     * Returns the maximum remaining wait of a request.
     *
     * @param requirements the requirements of the request, not null
     * @param nowMillis the present time
     * @return the time, in milliseconds; negative if the request has waited too long
     */
    public static long maxWaitMillis(Requirements requirements, long nowMillis) {
        long byObjective = (long) (MAX_WAIT_OBJECTIVES * requirements.objectiveMillis())
                - (nowMillis - requirements.arrivedAtMillis());
        long byDeadline = (long) (MAX_WAIT_DEADLINE_SHARE * (requirements.deadlineMillis() - nowMillis));
        return Math.min(byObjective, byDeadline);
    }

    /**
     * Removes a request. Does nothing if the request does not wait.
     *
     * @param request the request, not null
     */
    public void remove(T request) {
        waiting.removeIf(w -> w.request.equals(request));
    }

    /**
     * Returns whether no request waits.
     *
     * @return whether the queue is empty
     */
    public boolean isEmpty() {
        return waiting.isEmpty();
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number of requests
     */
    public int size() {
        return waiting.size();
    }

    /**
     * Returns the waiting requests in placement order.
     *
     * @return a copy of the list, never null
     */
    public List<T> inOrder() {
        return waiting.stream().map(w -> w.request).toList();
    }

    private long expectedWaitMillis(Requirements requirements, double servers) {
        long tokens = 0;
        for (QueuedRequest<T> each : waiting) {
            if (!isBefore(requirements, each.requirements)) {
                tokens += each.requirements.promptTokens();
            }
        }
        return (long) (tokens / (PREFILL_TOKENS_PER_MILLI * (servers > 0 ? servers : 1)));
    }

    private static boolean isBefore(Requirements a, Requirements b) {
        return a.arrivedAtMillis() + MILLIS_PER_PRIORITY * a.priority()
                < b.arrivedAtMillis() + MILLIS_PER_PRIORITY * b.priority();
    }

    /**
     * The requirements of a waiting request.
     *
     * @param priority the priority; 0 is the most urgent
     * @param promptTokens the number of prompt tokens
     * @param arrivedAtMillis the arrival time, in milliseconds
     * @param objectiveMillis the objective for the time to the first event, in milliseconds
     * @param deadlineMillis the time at which the response must be complete, in milliseconds
     */
    public record Requirements(
            int priority, long promptTokens, long arrivedAtMillis, long objectiveMillis, long deadlineMillis) {}

    private record QueuedRequest<T>(T request, Requirements requirements) {}
}
