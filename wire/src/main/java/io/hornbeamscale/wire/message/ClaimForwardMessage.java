package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Forwards a claim to the entry that writes its partition.
 *
 * @param id the id of the forwarded claim, repeated in the answer
 * @param content the content as JSON; null means empty
 */
public record ClaimForwardMessage(
        @JsonProperty("i") long id, @JsonProperty("x") String content) implements Message {
    /** Replaces missing optional fields. */
    public ClaimForwardMessage {
        content = content == null ? "" : content;
    }
}
