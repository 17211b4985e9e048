package io.hornbeamscale.measure.distribute;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Tasks ordered by simulated time; tasks of the same time run in insertion order. */
final class EventQueue {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private long nowMillis;
    private long nextSequence;

    long now() {
        return nowMillis;
    }

    void after(long delayMillis, Runnable task) {
        events.add(new Event(nowMillis + Math.max(0, delayMillis), nextSequence++, task));
    }

    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.task().run();
        }
        nowMillis = endMillis;
    }

    private record Event(long atMillis, long sequence, Runnable task) {}
}
