package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Tells a peer which version of the document the sender holds.
 *
 * @param version the version, 0 if none
 * @param revision the revision of the store's key for this version, 0 if unknown
 * @param isStarting whether the sender has just started and asks for the receiver's digest
 */
public record ConfigDigest(
        @JsonProperty("cv") long version,
        @JsonProperty("rv") long revision,
        @JsonProperty("st") boolean isStarting) implements Message {
    /**
     * Creates the digest of a node that has started.
     *
     * @param version the version
     */
    public ConfigDigest(long version) {
        this(version, 0, false);
    }
}
