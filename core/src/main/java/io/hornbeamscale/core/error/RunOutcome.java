package io.hornbeamscale.core.error;

import java.util.Locale;

/** Whether a request was executed. */
public enum RunOutcome {
    /** The request was not executed and never will be. */
    NOT_RUN,
    /** The request was executed, at least in part. */
    RAN,
    /** It is unknown whether the request was executed. */
    UNKNOWN;

    /**
     * Returns the code used in responses.
     *
     * @return the lower-case name, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
