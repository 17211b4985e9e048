package io.hornbeamscale.core.error;

import java.util.Locale;

/** Tells a caller whether its request was executed. */
public enum RunOutcome {
    /** The request was not executed and never will be. */
    NOT_RUN,
    /** The request was executed, at least in part. */
    RAN,
    /** Nothing can be said. */
    UNKNOWN;

    /**
     * Returns the text used in answers.
     *
     * @return the lower-case name, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
