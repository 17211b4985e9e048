package io.hornbeamscale.core.faults;

/** The kinds of faults that the harness injects. */
public enum FaultKind {
    /** A connection is lost together with the frames in flight. */
    LINK_LOST,
    /** A connection delivers no frames for a while. */
    LINK_STALLED,
    /** A connection is lost, and frames in flight are delivered much later. */
    OLD_FRAMES,
    /** An entry fails and restarts. */
    ENTRY_FAILED,
    /** An entry is suspended for a while. */
    ENTRY_PAUSED,
    /** An entry is stopped gracefully. */
    ENTRY_STOPPED,
    /** An agent fails and restarts. */
    AGENT_FAILED,
    /** An agent is suspended for a while. */
    AGENT_PAUSED,
    /** An agent is drained because its VM is listed as leaving. */
    AGENT_DRAINED,
    /** An agent's VM is reclaimed after a short notice. */
    AGENT_RECLAIMED,
    /** An engine fails and loses its running streams. */
    ENGINE_FAILED,
    /** Results of plain calls are lost between the backend server and the agent. */
    RESULT_LOST,
    /** The store does not reply. */
    STORE_DOWN,
    /** The store replies late. */
    STORE_SLOW,
    /** The store executes calls, but replies are lost. */
    STORE_REPLY_LOST,
    /** The store executes calls long after the caller has received no reply. */
    STORE_WRITE_LATE,
    /** The links between two groups of nodes are lost, and one group cannot reach the store. */
    REGION_CUT_OFF,
    /** A caller sends its request again. */
    CALLER_RESENDS,
    /** A start message is delivered twice. */
    START_DUPLICATED,
    /** A request crashes every engine that runs it. */
    POISON_REQUEST,
    /** A lease holder sends a command after its lease has expired. */
    LEASE_LAPSED
}
