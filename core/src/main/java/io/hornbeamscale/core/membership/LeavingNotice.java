package io.hornbeamscale.core.membership;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.util.Arguments;

/**
 * A notice that a node is leaving, as peers forward it. Issuer and sequence identify the notice, so that a frame that
 * is delivered minutes late does not mark a later incarnation as leaving.
 *
 * @param node the node that is leaving, not null
 * @param incarnation its incarnation, 0 if the issuer does not know it
 * @param issuer the node that first detected that the node is leaving, not null
 * @param issuerIncarnation the incarnation of the issuer
 * @param sequence a number that the issuer uses only once within its incarnation
 */
public record LeavingNotice(NodeId node, long incarnation, NodeId issuer, long issuerIncarnation, long sequence) {
    /** Checks the parts. */
    public LeavingNotice {
        Arguments.notNull(node, "node");
        Arguments.notNull(issuer, "issuer");
    }
}
