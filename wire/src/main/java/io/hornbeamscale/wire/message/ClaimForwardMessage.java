package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Passes a claim to the entry that writes its partition.
 *
 * @param id identifies the exchange
 * @param content the content as JSON; null means empty
 */
public record ClaimForwardMessage(
        @JsonProperty("i") long id, @JsonProperty("x") String content) implements Message {
    /** Checks required fields and replaces missing optional ones. */
    public ClaimForwardMessage {
        content = content == null ? "" : content;
    }
}
