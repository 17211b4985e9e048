package io.hornbeamscale.core.membership;

import io.hornbeamscale.core.id.NodeId;
import java.util.List;

/** What a membership view asks its caller to do. */
public sealed interface MembershipAction {
    /** Reads the VM list and reports the result with {@link MembershipView#listed}. */
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
    record StopWork(Member member) implements MembershipAction {}

    /**
     * Forgets a member that no longer exists.
     *
     * @param node the node
     */
    record Forget(NodeId node) implements MembershipAction {}

    /**
     * Passes news on to a peer.
     *
     * @param peer the peer
     * @param signs the signs
     */
    record TellPeer(Member peer, List<LeavingSign> signs) implements MembershipAction {}

    /** Drains this process, since its own VM is leaving. */
    record DrainSelf() implements MembershipAction {}
}
