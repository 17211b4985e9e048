package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Tells a peer which version of the document the sender holds.
 *
 * @param version the version, 0 for none
 * @param revision the revision of the store's key for this version
 * @param isReplicated whether enough replicas of the sender's region hold the version
 * @param isStarted whether the sender has finished its start
 * @param wantsReply whether the sender asks for the receiver's digest
 */
public record ConfigDigestMessage(
        @JsonProperty("cv") long version,
        @JsonProperty("rv") long revision,
        @JsonProperty("se") boolean isReplicated,
        @JsonProperty("st") boolean isStarted,
        @JsonProperty("wr") boolean wantsReply)
        implements Message {}
