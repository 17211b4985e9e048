package io.hornbeamscale.core.membership;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ZoneId;

/**
 * What this process knows about a node.
 *
 * @param node the node
 * @param role the role, such as {@code entry} or {@code agent}
 * @param address host and port
 * @param region the region
 * @param zone the availability zone
 * @param incarnation the incarnation, 0 until the node has reported itself
 * @param state the state
 */
public record Member(
        NodeId node, String role, String address, RegionId region, ZoneId zone, long incarnation, MemberState state) {
    /**
     * Returns whether the member may receive new work.
     *
     * @return whether the member is live
     */
    public boolean isUsable() {
        return state == MemberState.LIVE;
    }

    Member withState(long newIncarnation, MemberState newState) {
        return new Member(node, role, address, region, zone, newIncarnation, newState);
    }
}
