package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;
import java.util.List;

/**
 * Informs a peer of nodes that are leaving.
 *
 * @param signs one sign for each node that is leaving; null means none
 */
public record LeavingMessage(@JsonProperty("s") List<Sign> signs) implements Message {
    /** Replaces a missing list. */
    public LeavingMessage {
        signs = signs == null ? List.of() : List.copyOf(signs);
    }

    /**
     * A sign that a node is leaving.
     *
     * @param node the node that is leaving, not blank
     * @param incarnation its incarnation, 0 if the issuer does not know it
     * @param issuer the node that first observed the sign, not blank
     * @param issuerIncarnation the incarnation of the issuer
     * @param sequence a number that the issuer never uses twice within its incarnation
     */
    public record Sign(
            @JsonProperty("n") String node,
            @JsonProperty("in") long incarnation,
            @JsonProperty("i") String issuer,
            @JsonProperty("ii") long issuerIncarnation,
            @JsonProperty("sq") long sequence) {
        /** Checks required fields. */
        public Sign {
            Arguments.notBlank(node, "node");
            Arguments.notBlank(issuer, "issuer");
        }
    }
}
