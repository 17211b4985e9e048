package io.hornbeamscale.core.attempt;

/** The state of an attempt as its agent knows it. */
public enum AttemptState {
    /** The attempt never started at this agent and never will. */
    NEVER_STARTED,
    /** The backend server works on it. */
    RUNNING,
    /** It ended, whether complete or failed. */
    ENDED,
    /** The agent has no record: the grant belongs to another incarnation, or the record was dropped. */
    FORGOTTEN
}
