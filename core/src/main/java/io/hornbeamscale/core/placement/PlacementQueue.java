package io.hornbeamscale.core.placement;

import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The generations that wait at an entry until a server can begin to read their prompts, for the load of a crest that
 * exceeds what the engines read for some seconds. A request that waits here goes to whichever server is free first; one
 * that waits at a server is bound to it. The more urgent ranks go first, but a rank only counts as much as some time of
 * arrival, so that no rank starves. A request that cannot be placed in time is refused at once, with the time after
 * which it is expected to find room. Not safe for use by several threads.
 *
 * @param <T> the type of the requests
 */
public final class PlacementQueue<T> {
    /** How much earlier a request counts as arrived for each rank that it is more urgent, in milliseconds. */
    static final long MILLIS_PER_PRIORITY = 300;

    /** The prompt tokens that one server reads in a millisecond beside running responses. */
    static final double PREFILL_TOKENS_PER_MILLI = 7;

    /** The share of its remaining time that a request may wait; the rest is needed for the response. */
    private static final double MAX_WAIT_DEADLINE_SHARE = 0.4;

    /**
     * How many times its objective a request may wait; callers leave streams without an event after about four times.
     */
    private static final double MAX_WAIT_OBJECTIVES = 2;

    private final List<QueuedRequest<T>> waiting = new ArrayList<>();

    /**
     * Adds a request, or refuses it.
     *
     * @param request the request, not null
     * @param need what it needs, not null
     * @param servers the number of servers that take requests
     * @param nowMillis the present time
     * @return empty if the request waits, else the time after which it may come again, in milliseconds
     */
    public Optional<Long> offer(T request, Requirements need, int servers, long nowMillis) {
        Arguments.notNull(request, "request");
        long expected = expectedWaitMillis(need, servers);
        if (expected > maxWaitMillis(need, nowMillis)) {
            return Optional.of(expected);
        }
        int index = 0;
        while (index < waiting.size() && !isBefore(need, waiting.get(index).requirements)) {
            index++;
        }
        waiting.add(index, new QueuedRequest<>(request, need));
        return Optional.empty();
    }

    /**
     * Returns how long a request may wait from now on.
     *
     * @param need what the request needs, not null
     * @param nowMillis the present time
     * @return the time, in milliseconds, negative if it has waited too long already
     */
    public static long maxWaitMillis(Requirements need, long nowMillis) {
        long byObjective = (long) (MAX_WAIT_OBJECTIVES * need.objectiveMillis()) - (nowMillis - need.arrivedAtMillis());
        long byDeadline = (long) (MAX_WAIT_DEADLINE_SHARE * (need.deadlineMillis() - nowMillis));
        return Math.min(byObjective, byDeadline);
    }

    /**
     * Removes a request.
     *
     * @param request the request, not null
     */
    public void remove(T request) {
        waiting.removeIf(w -> w.request.equals(request));
    }

    /**
     * Returns whether no request waits.
     *
     * @return whether the room is empty
     */
    public boolean isEmpty() {
        return waiting.isEmpty();
    }

    /**
     * Returns how many requests wait.
     *
     * @return the number of requests
     */
    public int size() {
        return waiting.size();
    }

    /**
     * Returns the requests in the order in which they are to be placed.
     *
     * @return a copy, never null
     */
    public List<T> inOrder() {
        return waiting.stream().map(w -> w.request).toList();
    }

    private long expectedWaitMillis(Requirements need, int servers) {
        long tokens = 0;
        for (QueuedRequest<T> each : waiting) {
            if (!isBefore(need, each.requirements)) {
                tokens += each.requirements.promptTokens();
            }
        }
        return (long) (tokens / (PREFILL_TOKENS_PER_MILLI * Math.max(1, servers)));
    }

    private static boolean isBefore(Requirements a, Requirements b) {
        return a.arrivedAtMillis() + MILLIS_PER_PRIORITY * a.priority()
                < b.arrivedAtMillis() + MILLIS_PER_PRIORITY * b.priority();
    }

    /**
     * What a waiting request needs.
     *
     * @param priority its rank, 0 is the most urgent
     * @param promptTokens the tokens of its prompt
     * @param arrivedAtMillis when it arrived
     * @param objectiveMillis within which time its first event is on time, in milliseconds
     * @param deadlineMillis when its response must be complete
     */
    public record Requirements(
            int priority, long promptTokens, long arrivedAtMillis, long objectiveMillis, long deadlineMillis) {}

    private record QueuedRequest<T>(T request, Requirements requirements) {}
}
