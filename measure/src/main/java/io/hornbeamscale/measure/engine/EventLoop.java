package io.hornbeamscale.measure.engine;

import java.util.PriorityQueue;

/** A manual clock with events in the order of their time, then in the order in which they were added. */
public final class EventLoop {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMicros;
    private long added;

    /** Creates a loop at time zero. */
    public EventLoop() {}

    /**
     * Returns the present time.
     *
     * @return the time in microseconds
     */
    public long nowMicros() {
        return nowMicros;
    }

    /**
     * Returns the present time as controllers see it.
     *
     * @return the time in whole milliseconds
     */
    public long nowMillis() {
        return nowMicros / 1_000;
    }

    /**
     * Adds an event.
     *
     * @param delayMicros the time from now in microseconds, not negative
     * @param action what happens then, not null
     */
    public void after(long delayMicros, Runnable action) {
        added++;
        events.add(new Event(nowMicros + Math.max(0, delayMicros), added, action));
    }

    /**
     * Runs an action again and again until the loop ends.
     *
     * @param periodMicros the time between two runs in microseconds, greater than 0
     * @param action what happens, not null
     */
    public void every(long periodMicros, Runnable action) {
        after(periodMicros, () -> {
            action.run();
            every(periodMicros, action);
        });
    }

    /**
     * Runs all events up to a time.
     *
     * @param untilMicros the last time in microseconds
     */
    public void run(long untilMicros) {
        while (!events.isEmpty() && events.peek().atMicros <= untilMicros) {
            Event e = events.remove();
            nowMicros = e.atMicros;
            e.action.run();
        }
        nowMicros = untilMicros;
    }

    private record Event(long atMicros, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
