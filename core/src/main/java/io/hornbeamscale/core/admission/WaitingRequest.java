package io.hornbeamscale.core.admission;

import java.util.Comparator;

/**
 * A stream in an {@link AdmissionQueue}, with what its place in the order depends on.
 *
 * @param <T> the type of the stream
 */
final class WaitingRequest<T> {
    /** The arrival time difference that equals one priority level, in milliseconds. */
    static final long MILLIS_PER_PRIORITY = 300;

    /** The arrival time difference that equals the work of {@link #LONG_WORK}, in milliseconds. */
    static final long MILLIS_PER_LONG_WORK = 300;

    /** The maximum arrival time difference for work, in milliseconds, so that the largest requests do not starve. */
    static final long MAX_WORK_MILLIS = 900;

    /** The work of a response of 750 tokens to a prompt of 3,000, in token milliseconds. */
    private static final double LONG_WORK = 3_750 * 5_800.0;

    /** The objective up to which a stream with a longer one goes later, in milliseconds. */
    private static final long MAX_OBJECTIVE_MILLIS = 2_000;

    static final Comparator<WaitingRequest<?>> ORDER = Comparator.<WaitingRequest<?>, Boolean>comparing(w -> !w.isFloor)
            .thenComparing(w -> w.request.isRepeat())
            .thenComparing(w -> w.isLate)
            .thenComparing(w -> w.isOver)
            .thenComparingLong(w -> w.score);

    final T item;
    final AdmissionRequest request;
    final CapacityClass capacity;
    /** The number of servers that take requests, as known on arrival. */
    final double servers;
    /** The time at which the request is refused at the latest, in milliseconds. */
    final long limitAtMillis;
    /** The arrival time, corrected by priority, objective and work, in milliseconds. */
    final long score;

    boolean isWaiting;
    /** Whether it is the first of a route that has less than its minimum share of the admissions. */
    boolean isFloor;
    /** Whether its objective cannot be met any more. */
    boolean isLate;
    /** Whether its customer has more than its fair share. */
    boolean isOver;

    WaitingRequest(T item, AdmissionRequest request, CapacityClass capacity, double servers, long nowMillis) {
        this.item = item;
        this.request = request;
        this.capacity = capacity;
        this.servers = servers;
        limitAtMillis = nowMillis + request.maxWaitMillis(nowMillis);
        long objective = request.objectiveMillis() == 0 ? MAX_OBJECTIVE_MILLIS : request.objectiveMillis();
        score = request.arrivedAtMillis()
                + Math.min(objective, MAX_OBJECTIVE_MILLIS)
                + MILLIS_PER_PRIORITY * request.priority()
                + Math.min(MAX_WORK_MILLIS, (long) (request.work() / LONG_WORK * MILLIS_PER_LONG_WORK));
    }
}
