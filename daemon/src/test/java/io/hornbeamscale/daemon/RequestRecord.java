package io.hornbeamscale.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** What callers and backend servers saw of the requests of one run. Safe for use by several threads. */
final class RequestRecord {
    /** How long after its last byte a request may end with a closed connection if no server has received it. */
    private static final long CLOSE_SLACK_MILLIS = 200;

    private final Set<String> reached = ConcurrentHashMap.newKeySet();
    private final List<Unanswered> unanswered = new ArrayList<>();
    private final AtomicInteger answered = new AtomicInteger();

    /** Records that a server has read a request. */
    void reached(String id) {
        reached.add(id);
    }

    /** Records a complete response. */
    void completed() {
        answered.incrementAndGet();
    }

    /** Records that the connection of a request that was sent in full ended without a complete response. */
    synchronized void unanswered(String id, long sentAtNanos, String why) {
        unanswered.add(new Unanswered(id, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAtNanos), why));
    }

    int answered() {
        return answered.get();
    }

    /** Returns the requests that a server received or that the gateway kept, and that got no complete response. */
    synchronized List<String> lost() {
        return unanswered.stream()
                .filter(u -> reached.contains(u.id()) || u.afterMillis() > CLOSE_SLACK_MILLIS)
                .map(u -> u.id() + " after " + u.afterMillis() + " ms, "
                        + (reached.contains(u.id()) ? "passed on" : "not passed on") + ": " + u.why())
                .toList();
    }

    private record Unanswered(String id, long afterMillis, String why) {}
}
