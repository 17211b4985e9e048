package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Shares suspect and quarantined requests.
 *
 * @param kind the kind of the exchange; null means empty
 * @param content the content as JSON; null means empty
 */
public record QuarantineMessage(
        @JsonProperty("k") String kind, @JsonProperty("x") String content) implements Message {
    /** Checks required fields and replaces missing optional ones. */
    public QuarantineMessage {
        kind = kind == null ? "" : kind;
        content = content == null ? "" : content;
    }
}
