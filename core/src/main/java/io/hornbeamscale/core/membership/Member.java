package io.hornbeamscale.core.membership;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ZoneId;

/**
 * A node as this process knows it.
 *
 * @param node the node
 * @param role the role, such as {@code entry} or {@code agent}
 * @param address host and port
 * @param region the region
 * @param zone the availability zone
 * @param incarnation the incarnation, 0 while the node has not been heard
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

    Member with(long newIncarnation, MemberState newState) {
        return new Member(node, role, address, region, zone, newIncarnation, newState);
    }
}
