package io.hornbeamscale.core.faults;

/** A deliberately broken variant of a controller, which the harness must report. */
public enum Defect {
    NONE,
    /** The claim controller lets every call proceed. */
    CLAIM_NOT_WRITTEN,
    /** The claim controller takes a claim over without the agent's promise. */
    CLAIM_TAKEN_OVER,
    /** The ledger starts an attempt whatever its grant. */
    GRANT_NOT_CHECKED,
    /** The ledger promises that an attempt never starts but leaves its grant open. */
    PROMISE_NOT_KEPT,
    /** The hand-over record takes a lost connection for not run. */
    LINK_LOSS_IS_NOT_RUN,
    /** The assembler delivers tokens whatever their offset. */
    OFFSET_NOT_CHECKED,
    /** The assembler accepts frames of any generation and continues a lost one with the next. */
    GENERATION_NOT_CHECKED,
    /** The agent passes responses to whichever call waits longest. */
    RESPONSES_IN_ORDER,
    /** The drain controller does not stop new work. */
    DRAIN_IGNORED,
    /** The drain controller exits at once. */
    DRAIN_TRUNCATES,
    /** The quarantine controller quarantines a request but lets it through. */
    QUARANTINE_IGNORED,
    /** The fence guard remembers the number only in memory. */
    FENCE_FORGOTTEN
}
