package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Carries the changes from one version of the document to another.
 *
 * @param fromVersion the version that the changes apply to
 * @param version the version after the changes
 * @param revision the revision of the store's key for the version after the changes
 * @param changes the changes as JSON; null means empty
 * @param checksum the checksum of the document after the changes
 */
public record ConfigDelta(
        @JsonProperty("fv") long fromVersion,
        @JsonProperty("cv") long version,
        @JsonProperty("rv") long revision,
        @JsonProperty("ch") String changes,
        @JsonProperty("ck") long checksum)
        implements Message {
    /** Checks required fields and replaces missing optional ones. */
    public ConfigDelta {
        changes = changes == null ? "" : changes;
    }
}
