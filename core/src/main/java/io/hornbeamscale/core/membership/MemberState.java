package io.hornbeamscale.core.membership;

/** What is known about a member. */
public enum MemberState {
    /** The member may receive new work. */
    LIVE,
    /** The connection was lost and the member has not been heard since; it receives no new work. */
    SUSPECT,
    /** The member is leaving; it receives no new work until it has a new incarnation. */
    LEAVING
}
