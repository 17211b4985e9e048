package io.hornbeamscale.core.faults;

/** Deliberate defects of controllers, which the harness must detect. */
public enum Defect {
    /** No defect. */
    NONE,
    /** Keyed calls proceed without a claim in the store. */
    CLAIM_NOT_WRITTEN,
    /** A claim is taken over without the agent's confirmation that the earlier attempt will never start. */
    CLAIM_TAKEN_OVER,
    /** The agent starts an attempt without checking its grant. */
    GRANT_NOT_CHECKED,
    /** The agent confirms that an attempt will never start, but its grant remains valid. */
    PROMISE_NOT_KEPT,
    /** A lost connection is reported as if the request had not run. */
    LINK_LOSS_IS_NOT_RUN,
    /** Tokens are delivered without checking their offset. */
    OFFSET_NOT_CHECKED,
    /** Frames of any generation are accepted, so that a lost generation is continued with the next one. */
    GENERATION_NOT_CHECKED,
    /** Responses are passed to the call that has been running longest. */
    RESPONSES_IN_ORDER,
    /** A draining agent accepts new work. */
    DRAIN_IGNORED,
    /** A draining agent exits immediately. */
    DRAIN_TRUNCATES,
    /** Quarantined requests are executed. */
    QUARANTINE_IGNORED,
    /** The highest fencing number is kept only in memory, so that a restarted agent forgets it. */
    FENCE_FORGOTTEN
}
