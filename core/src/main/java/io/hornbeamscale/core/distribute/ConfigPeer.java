package io.hornbeamscale.core.distribute;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.util.Arguments;

/**
 * A node that takes part in the distribution of the document.
 *
 * @param node the node, not null
 * @param region its region, not null
 */
public record ConfigPeer(NodeId node, RegionId region) {
    /** Checks the components. */
    public ConfigPeer {
        Arguments.notNull(node, "node");
        Arguments.notNull(region, "region");
    }
}
