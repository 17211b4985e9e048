package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Shares crash reports, cleared requests and quarantined requests between entries.
 *
 * @param kind the kind of the exchange; null means empty
 * @param content the content as JSON; null means empty
 */
public record QuarantineMessage(
        @JsonProperty("k") String kind, @JsonProperty("x") String content) implements Message {
    /** Replaces missing optional fields. */
    public QuarantineMessage {
        kind = kind == null ? "" : kind;
        content = content == null ? "" : content;
    }
}
