package io.hornbeamscale.core.membership;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ZoneId;
import io.hornbeamscale.core.util.Arguments;

/**
 * One entry of the platform's VM list. The list may be out of date.
 *
 * @param node the node that runs on the VM, not null
 * @param role the role of the node, such as {@code entry} or {@code agent}, not blank
 * @param address host and port of the node, not blank
 * @param region the region, not null
 * @param zone the availability zone, not null
 * @param isLeaving whether the platform is about to reclaim the VM
 */
public record VmRecord(NodeId node, String role, String address, RegionId region, ZoneId zone, boolean isLeaving) {
    /** Checks the parts. */
    public VmRecord {
        Arguments.notNull(node, "node");
        Arguments.notBlank(role, "role");
        Arguments.notBlank(address, "address");
        Arguments.notNull(region, "region");
        Arguments.notNull(zone, "zone");
    }
}
