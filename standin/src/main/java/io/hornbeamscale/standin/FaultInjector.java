package io.hornbeamscale.standin;

import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Tells a stand-in which faults to show, and how often. Safe for use by several threads. */
public final class FaultInjector {
    private final List<Armed> armed = new ArrayList<>();

    /** Creates a switch without faults. */
    public FaultInjector() {}

    /**
     * Shows a fault a number of times.
     *
     * @param fault the fault, not null
     * @param times how many requests meet it, greater than 0
     */
    public synchronized void arm(StandInFault fault, int times) {
        Arguments.notNull(fault, "fault");
        Arguments.positive(times, "times");
        armed.add(new Armed(fault, times));
    }

    /**
     * Shows a fault until it is cleared.
     *
     * @param fault the fault, not null
     */
    public void arm(StandInFault fault) {
        arm(fault, Integer.MAX_VALUE);
    }

    /** Removes all faults. */
    public synchronized void clear() {
        armed.clear();
    }

    /**
     * Uses up one occurrence of a fault.
     *
     * @param <F> the type of the fault
     * @param type the class of the fault, not null
     * @return the fault, empty if none of this class is armed
     */
    public synchronized <F extends StandInFault> Optional<F> take(Class<F> type) {
        for (int i = 0; i < armed.size(); i++) {
            Armed entry = armed.get(i);
            if (!type.isInstance(entry.fault())) {
                continue;
            }
            if (entry.times() == 1) {
                armed.remove(i);
            } else if (entry.times() != Integer.MAX_VALUE) {
                armed.set(i, new Armed(entry.fault(), entry.times() - 1));
            }
            return Optional.of(type.cast(entry.fault()));
        }
        return Optional.empty();
    }

    private record Armed(StandInFault fault, int times) {}
}
