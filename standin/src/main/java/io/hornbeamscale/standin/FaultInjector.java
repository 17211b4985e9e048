package io.hornbeamscale.standin;

import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Holds the faults that a stand-in injects, and how often. Thread-safe. */
public final class FaultInjector {
    private final List<ArmedFault> armed = new ArrayList<>();

    /** Creates an injector without faults. */
    public FaultInjector() {}

    /**
     * Injects a fault a number of times.
     *
     * @param fault the fault, not null
     * @param times the number of requests that it affects, greater than 0
     */
    public synchronized void arm(StandInFault fault, int times) {
        Arguments.notNull(fault, "fault");
        Arguments.positive(times, "times");
        armed.add(new ArmedFault(fault, times));
    }

    /**
     * Injects a fault until {@link #clear} is called.
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
     * Consumes one occurrence of a fault.
     *
     * @param <F> the type of the fault
     * @param type the class of the fault, not null
     * @return the fault, empty if none of this class is armed
     */
    public synchronized <F extends StandInFault> Optional<F> consume(Class<F> type) {
        for (int i = 0; i < armed.size(); i++) {
            ArmedFault entry = armed.get(i);
            if (!type.isInstance(entry.fault())) {
                continue;
            }
            if (entry.remaining() == 1) {
                armed.remove(i);
            } else if (entry.remaining() != Integer.MAX_VALUE) {
                armed.set(i, new ArmedFault(entry.fault(), entry.remaining() - 1));
            }
            return Optional.of(type.cast(entry.fault()));
        }
        return Optional.empty();
    }

    private record ArmedFault(StandInFault fault, int remaining) {}
}
