package io.hornbeamscale.core.fleet;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The start times of the incarnations of servers that a later registration in the store has replaced. A registration of
 * one of them was delayed, while one of any other incarnation is of a new start: the clock of a server may be set back
 * between two starts, so start times alone have no order. Not safe for use by several threads.
 */
final class EarlierIncarnations {
    /** How many start times are kept for a server; a delayed registration is a few seconds old at most. */
    private static final int MAX_STARTS = 16;

    private final Map<String, Set<Long>> starts = new HashMap<>();
    private final Map<String, ServerRegistration> unconfirmed = new HashMap<>();

    /** Records that the incarnation of a registration was replaced by another one. */
    void add(ServerRegistration replaced) {
        Set<Long> known = starts.computeIfAbsent(replaced.id(), id -> new LinkedHashSet<>());
        known.add(replaced.startedAtMillis());
        if (known.size() > MAX_STARTS) {
            known.remove(known.iterator().next());
        }
    }

    /** Returns whether the incarnation of a registration was replaced before. */
    boolean contains(ServerRegistration registration) {
        return starts.getOrDefault(registration.id(), Set.of()).contains(registration.startedAtMillis());
    }

    /**
     * Records a registration of a restored store, and returns whether its incarnation has not shown yet that it lives,
     * by a second registration with a greater sequence.
     */
    boolean awaitsConfirmation(ServerRegistration registration) {
        ServerRegistration first = unconfirmed.putIfAbsent(registration.id(), registration);
        if (registration.isSameIncarnation(first)) {
            return registration.sequence() <= first.sequence();
        }
        unconfirmed.put(registration.id(), registration);
        return true;
    }

    /** Removes the start times of a server that is gone. */
    void forget(String id) {
        starts.remove(id);
        unconfirmed.remove(id);
    }
}
