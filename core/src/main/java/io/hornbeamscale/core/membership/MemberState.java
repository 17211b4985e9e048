package io.hornbeamscale.core.membership;

/** The state of a member as far as this process knows it. */
public enum MemberState {
    /** The member may receive new work. */
    LIVE,
    /** The connection was lost and the member has not reported itself since; it receives no new work. */
    SUSPECT,
    /** The member is leaving; it receives no new work until it has a new incarnation. */
    LEAVING
}
