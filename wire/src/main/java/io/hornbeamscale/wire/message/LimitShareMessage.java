package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Exchanges demand and shares of customers' limits.
 *
 * @param kind the kind of the exchange; null means empty
 * @param content the content as JSON; null means empty
 */
public record LimitShareMessage(
        @JsonProperty("k") String kind, @JsonProperty("x") String content) implements Message {
    /** Replaces missing optional fields. */
    public LimitShareMessage {
        kind = kind == null ? "" : kind;
        content = content == null ? "" : content;
    }
}
