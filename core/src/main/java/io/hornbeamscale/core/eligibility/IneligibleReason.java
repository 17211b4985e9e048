package io.hornbeamscale.core.eligibility;

import java.util.Locale;

/** Why a backend server must not get a request now. */
public enum IneligibleReason {
    /** The request excludes the server, for example because the server has refused it. */
    EXCLUDED,
    /** The route or the customer does not allow the server's region. */
    REGION,
    /** The operators have evacuated the server's availability zone. */
    EVACUATED,
    /** The server leaves, or has left. */
    LEAVING,
    /** The server asked this entry for a pause. */
    PAUSED,
    /** The server has named a request rate, and this entry has used its share. */
    RATE_LIMITED,
    /** The server is cold, and this entry has used its share of the rate that a cold server bears. */
    COLD,
    /** The server failed several times in a row. */
    EJECTED;

    /**
     * Returns the name used in log lines and metrics.
     *
     * @return the lower-case name, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether the reason ends by itself at a known time.
     *
     * @return whether a request may wait for its end
     */
    public boolean isTemporary() {
        return this == PAUSED || this == RATE_LIMITED || this == COLD;
    }
}
