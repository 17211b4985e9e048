package io.hornbeamscale.measure.sim;

import java.util.Locale;

/** A policy that routes requests to engines. */
public enum Policy {
    /** Each entry sends to the engines in round-robin order. */
    ROUND_ROBIN,
    /** Each entry sends to the engine with the fewest unfinished requests of this entry. */
    LEAST_OUTSTANDING,
    /** Each entry sends to the one of two random engines that has fewer unfinished requests of this entry. */
    TWO_CHOICES,
    /** The controllers of the core route and schedule requests. */
    HORNBEAM,
    /** Like {@link #HORNBEAM}, but with the true length of each response instead of estimates. */
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
