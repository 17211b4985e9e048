package io.hornbeamscale.core.membership;

import io.hornbeamscale.core.id.NodeId;
import java.util.List;

/** An action that a membership view requests of its caller. */
public sealed interface MembershipAction {
    /** Reads the VM list and passes the result to {@link MembershipView#vmListRead}. */
    record ReadVmList() implements MembershipAction {}

    /**
     * Starts or resumes sending new work to a member.
     *
     * @param member the member
     */
    record UseMember(Member member) implements MembershipAction {}

    /**
     * Stops sending new work to a member.
     *
     * @param member the member
     */
    record StopUsingMember(Member member) implements MembershipAction {}

    /**
     * Removes a member that no longer exists.
     *
     * @param node the node
     */
    record RemoveMember(NodeId node) implements MembershipAction {}

    /**
     * Sends leaving notices to a peer.
     *
     * @param peer the peer
     * @param notices the notices
     */
    record SendNotices(Member peer, List<LeavingNotice> notices) implements MembershipAction {}

    /** Drains this process, because its own VM is leaving. */
    record DrainSelf() implements MembershipAction {}
}
