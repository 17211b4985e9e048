package io.hornbeamscale.core.membership;

import io.hornbeamscale.core.id.NodeId;
import java.util.List;

/** What a membership view asks its caller to do. */
public sealed interface MembershipAction {
    /** Reads the VM list and reports the result with {@link MembershipView#vmListRead}. */
    record ReadVmList() implements MembershipAction {}

    /**
     * Starts to use a member, or uses it again.
     *
     * @param member the member
     */
    record UseMember(Member member) implements MembershipAction {}

    /**
     * Sends no new work to a member.
     *
     * @param member the member
     */
    record StopUsingMember(Member member) implements MembershipAction {}

    /**
     * Forgets a member that no longer exists.
     *
     * @param node the node
     */
    record RemoveMember(NodeId node) implements MembershipAction {}

    /**
     * Passes news on to a peer.
     *
     * @param peer the peer
     * @param notices the signs
     */
    record SendNotices(Member peer, List<LeavingNotice> notices) implements MembershipAction {}

    /** Drains this process, since its own VM is leaving. */
    record DrainSelf() implements MembershipAction {}
}
