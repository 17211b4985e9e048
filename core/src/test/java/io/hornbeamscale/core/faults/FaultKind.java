package io.hornbeamscale.core.faults;

/** The kinds of faults that the harness injects. */
public enum FaultKind {
    LINK_LOST,
    LINK_STALLED,
    OLD_FRAMES,
    ENTRY_FAILED,
    ENTRY_PAUSED,
    ENTRY_STOPPED,
    AGENT_FAILED,
    AGENT_PAUSED,
    AGENT_DRAINED,
    AGENT_RECLAIMED,
    ENGINE_FAILED,
    RESULT_LOST,
    STORE_DOWN,
    STORE_SLOW,
    STORE_REPLY_LOST,
    STORE_WRITE_LATE,
    REGION_CUT_OFF,
    CALLER_RESENDS,
    START_DUPLICATED,
    POISON_REQUEST,
    LEASE_LAPSED
}
