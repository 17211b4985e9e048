package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;

/**
 * Introduces a process on a new connection.
 *
 * @param node the node id, not blank
 * @param role the role, {@code entry} or {@code agent}, not blank
 * @param incarnation the incarnation of the process
 * @param protocol the greatest protocol version that the sender speaks
 * @param configVersion the version of the document in force, 0 if none
 * @param address host and port where the sender accepts frames, empty if it does not; null means empty
 * @param region the region of the sender; null means empty
 * @param zone the availability zone of the sender; null means empty
 */
public record HelloMessage(
        @JsonProperty("n") String node,
        @JsonProperty("ro") String role,
        @JsonProperty("in") long incarnation,
        @JsonProperty("p") int protocol,
        @JsonProperty("cv") long configVersion,
        @JsonProperty("ad") String address,
        @JsonProperty("rg") String region,
        @JsonProperty("az") String zone)
        implements Message {
    /** Checks required fields and replaces missing optional ones. */
    public HelloMessage {
        Arguments.notBlank(node, "node");
        Arguments.notBlank(role, "role");
        address = address == null ? "" : address;
        region = region == null ? "" : region;
        zone = zone == null ? "" : zone;
    }

    /**
     * Introduces a process without its place.
     *
     * @param node the node id, not blank
     * @param role the role, {@code entry} or {@code agent}, not blank
     * @param incarnation the incarnation of the process
     * @param protocol the greatest protocol version that the sender speaks
     * @param configVersion the version of the document in force, 0 if none
     * @param address host and port where the sender accepts frames, empty if it does not; null means empty
     */
    public HelloMessage(String node, String role, long incarnation, int protocol, long configVersion, String address) {
        this(node, role, incarnation, protocol, configVersion, address, "", "");
    }
}
