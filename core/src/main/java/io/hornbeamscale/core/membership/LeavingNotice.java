package io.hornbeamscale.core.membership;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.util.Arguments;

/**
 * The news that a node is leaving, as peers pass it on. Issuer and sequence identify the sign, so that a frame which is
 * delivered minutes late does not mark a later incarnation.
 *
 * @param node the node that is leaving, not null
 * @param incarnation its incarnation, 0 if the issuer does not know it
 * @param issuer the node that saw the sign first, not null
 * @param issuerIncarnation the incarnation of the issuer
 * @param sequence a number that the issuer never uses twice within its incarnation
 */
public record LeavingNotice(NodeId node, long incarnation, NodeId issuer, long issuerIncarnation, long sequence) {
    /** Checks the parts. */
    public LeavingNotice {
        Arguments.notNull(node, "node");
        Arguments.notNull(issuer, "issuer");
    }
}
