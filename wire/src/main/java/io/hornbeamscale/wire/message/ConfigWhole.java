package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.hornbeamscale.core.util.Arguments;

/**
 * Carries a whole document.
 *
 * @param version the version
 * @param revision the revision of the store's key for this version
 * @param document the document as JSON, not blank
 */
public record ConfigWhole(
        @JsonProperty("cv") long version,
        @JsonProperty("rv") long revision,
        @JsonProperty("do") String document) implements Message {
    /** Checks required fields and replaces missing optional ones. */
    public ConfigWhole {
        Arguments.notBlank(document, "document");
    }
}
