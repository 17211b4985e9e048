package io.hornbeamscale.measure.sim;

import java.util.Locale;

/** How requests reach engines. */
public enum Policy {
    /** Each entry sends to the engines in turn. */
    ROUND_ROBIN,
    /** Each entry sends to the engine with the fewest of its own unfinished requests. */
    LEAST_OUTSTANDING,
    /** Each entry sends to the better of two random engines, by its own unfinished requests. */
    TWO_CHOICES,
    /** The controllers of the core. */
    HORNBEAM,
    /** The controllers of the core with length estimates that are always right. */
    ORACLE;

    /**
     * Returns the name on the command line.
     *
     * @return the lower-case name with hyphens, never null
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a policy by its name on the command line.
     *
     * @param label the name
     * @return the policy
     * @throws IllegalArgumentException if no policy has this name
     */
    public static Policy ofLabel(String label) {
        for (Policy p : values()) {
            if (p.label().equals(label)) {
                return p;
            }
        }
        throw new IllegalArgumentException(
                "policy must be one of round-robin, least-outstanding, two-choices," + " hornbeam, oracle: " + label);
    }

    boolean isControlled() {
        return this == HORNBEAM || this == ORACLE;
    }
}
