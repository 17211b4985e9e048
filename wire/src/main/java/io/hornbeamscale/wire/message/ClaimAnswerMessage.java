package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Answers a forwarded claim.
 *
 * @param id the id of the forwarded claim that this answers
 * @param content the content as JSON; null means empty
 */
public record ClaimAnswerMessage(
        @JsonProperty("i") long id, @JsonProperty("x") String content) implements Message {
    /** Replaces missing optional fields. */
    public ClaimAnswerMessage {
        content = content == null ? "" : content;
    }
}
