package io.hornbeamscale.measure.engine;

import java.util.PriorityQueue;

/** A simulated clock that runs events in the order of their time; events of the same time run in insertion order. */
public final class EventLoop {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMicros;
    private long lastSequence;

    /** Creates a loop at time zero. */
    public EventLoop() {}

    /**
     * Returns the current simulated time.
     *
     * @return the time in microseconds
     */
    public long nowMicros() {
        return nowMicros;
    }

    /**
     * Returns the current simulated time in the unit of the controllers.
     *
     * @return the time in whole milliseconds
     */
    public long nowMillis() {
        return nowMicros / 1_000;
    }

    /**
     * Schedules an action.
     *
     * @param delayMicros the delay in microseconds; a negative delay counts as 0
     * @param action the action, not null
     */
    public void after(long delayMicros, Runnable action) {
        lastSequence++;
        events.add(new Event(nowMicros + Math.max(0, delayMicros), lastSequence, action));
    }

    /**
     * Schedules an action periodically, the first time after one period.
     *
     * @param periodMicros the time between two runs in microseconds, greater than 0
     * @param action the action, not null
     */
    public void every(long periodMicros, Runnable action) {
        after(periodMicros, () -> {
            action.run();
            every(periodMicros, action);
        });
    }

    /**
     * Runs all events up to a time and sets the clock to it.
     *
     * @param untilMicros the time in microseconds, inclusive
     */
    public void run(long untilMicros) {
        while (!events.isEmpty() && events.peek().atMicros <= untilMicros) {
            Event e = events.remove();
            nowMicros = e.atMicros;
            e.action.run();
        }
        nowMicros = untilMicros;
    }

    private record Event(long atMicros, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
