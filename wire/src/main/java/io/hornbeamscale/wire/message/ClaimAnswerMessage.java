package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Answers a forwarded claim.
 *
 * @param id identifies the exchange
 * @param content the content as JSON; null means empty
 */
public record ClaimAnswerMessage(
        @JsonProperty("i") long id, @JsonProperty("x") String content) implements Message {
    /** Checks required fields and replaces missing optional ones. */
    public ClaimAnswerMessage {
        content = content == null ? "" : content;
    }
}
