package io.hornbeamscale.core.schedule;

import io.hornbeamscale.core.id.AttemptId;
import io.hornbeamscale.core.id.CustomerId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Waiting reservations in lanes by priority and expected length. Within a lane, the customer with the lowest counter
 * goes first, and within a customer the reservation with the lowest sort key.
 */
final class WaitQueue {
    private static final Comparator<QueuedReservation> BY_SORT_KEY =
            Comparator.comparingDouble((QueuedReservation q) -> q.sortKey).thenComparingLong(q -> q.order);

    private final VirtualTokenCounters counters;
    private final Map<AttemptId, QueuedReservation> byAttempt = new HashMap<>();
    private final TreeMap<Lane, Map<CustomerId, TreeSet<QueuedReservation>>> lanes = new TreeMap<>();
    private double tokens;

    WaitQueue(VirtualTokenCounters counters) {
        this.counters = counters;
    }

    void add(QueuedReservation q) {
        byAttempt.put(q.reservation.attempt(), q);
        tokens += q.expectedTokens;
        lanes.computeIfAbsent(Lane.of(q), k -> new HashMap<>())
                .computeIfAbsent(customer(q), k -> new TreeSet<>(BY_SORT_KEY))
                .add(q);
        counters.enter(customer(q));
    }

    private static CustomerId customer(QueuedReservation q) {
        return q.reservation.work().customer();
    }

    /** Removes a reservation and returns it, or null if it is unknown. */
    QueuedReservation remove(AttemptId attempt) {
        QueuedReservation q = byAttempt.remove(attempt);
        if (q == null) {
            return null;
        }
        tokens = byAttempt.isEmpty() ? 0 : tokens - q.expectedTokens;
        Map<CustomerId, TreeSet<QueuedReservation>> lane = lanes.get(Lane.of(q));
        TreeSet<QueuedReservation> own = lane.get(customer(q));
        own.remove(q);
        if (own.isEmpty()) {
            lane.remove(customer(q));
        }
        if (lane.isEmpty()) {
            lanes.remove(Lane.of(q));
        }
        counters.leave(customer(q));
        return q;
    }

    /** Returns the first eligible reservation of each lane that has an eligible one, never null. */
    List<QueuedReservation> heads(Predicate<QueuedReservation> isEligible) {
        List<QueuedReservation> heads = new ArrayList<>(lanes.size());
        for (Map<CustomerId, TreeSet<QueuedReservation>> lane : lanes.values()) {
            QueuedReservation best = null;
            double lowest = Double.MAX_VALUE;
            for (Map.Entry<CustomerId, TreeSet<QueuedReservation>> e : lane.entrySet()) {
                double value = counters.value(e.getKey());
                QueuedReservation first = first(e.getValue(), isEligible);
                if (first == null) {
                    continue;
                }
                if (best == null || value < lowest || (value == lowest && BY_SORT_KEY.compare(first, best) < 0)) {
                    best = first;
                    lowest = value;
                }
            }
            if (best != null) {
                heads.add(best);
            }
        }
        return heads;
    }

    private static QueuedReservation first(
            SortedSet<QueuedReservation> works, Predicate<QueuedReservation> isEligible) {
        for (QueuedReservation work : works) {
            if (isEligible.test(work)) {
                return work;
            }
        }
        return null;
    }

    /**
     * Returns the expected output of the work that goes before a reservation: the work of higher lanes, and the work of
     * its own lane for which its customer has to wait if the lane is shared fairly.
     */
    double tokensAhead(QueuedReservation q) {
        double ahead = 0;
        Lane own = Lane.of(q);
        for (Map.Entry<Lane, Map<CustomerId, TreeSet<QueuedReservation>>> e : lanes.entrySet()) {
            int order = e.getKey().compareTo(own);
            if (order > 0) {
                break;
            }
            double all = 0;
            double mine = 0;
            for (Map.Entry<CustomerId, TreeSet<QueuedReservation>> c :
                    e.getValue().entrySet()) {
                double sum = c.getValue().size() * c.getValue().first().expectedTokens;
                all += sum;
                mine += c.getKey().equals(customer(q)) ? sum : 0;
            }
            boolean isWaiting = e.getValue().containsKey(customer(q));
            int sharing = e.getValue().size() + (isWaiting ? 0 : 1);
            ahead += order < 0 ? all : Math.min(all, mine * sharing);
        }
        return ahead;
    }

    boolean contains(AttemptId attempt) {
        return byAttempt.containsKey(attempt);
    }

    Collection<QueuedReservation> all() {
        return List.copyOf(byAttempt.values());
    }

    int size() {
        return byAttempt.size();
    }

    /** Returns the expected output of all waiting work, in tokens. */
    double tokens() {
        return tokens;
    }

    private record Lane(int priority, boolean isLong) implements Comparable<Lane> {
        static Lane of(QueuedReservation q) {
            return new Lane(q.reservation.work().priority(), q.isLong);
        }

        @Override
        public int compareTo(Lane other) {
            int byPriority = Integer.compare(other.priority, priority);
            return byPriority != 0 ? byPriority : Boolean.compare(isLong, other.isLong);
        }
    }
}
