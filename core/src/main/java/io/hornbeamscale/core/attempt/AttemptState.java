package io.hornbeamscale.core.attempt;

/** What an agent knows about an attempt. */
public enum AttemptState {
    /** The attempt never started at this agent and never will. */
    NEVER_STARTED,
    /** The backend server works on it. */
    RUNNING,
    /** It ended, whether complete or failed. */
    ENDED,
    /** The agent cannot tell: another incarnation answered, or the record was dropped. */
    FORGOTTEN
}
