package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * Carries the changes from one version of the document to another.
 *
 * @param fromVersion the version that the changes apply to
 * @param version the version after the changes
 * @param revision the revision of the store's key for the version after the changes
 * @param changed name to text of entities that were added or changed; null means none
 * @param removed names of entities that were removed; null means none
 * @param checksum the checksum of the result
 * @param isReplicated whether enough replicas of the sender's region hold the version
 */
public record ConfigDeltaMessage(
        @JsonProperty("fv") long fromVersion,
        @JsonProperty("cv") long version,
        @JsonProperty("rv") long revision,
        @JsonProperty("ch") Map<String, String> changed,
        @JsonProperty("rm") List<String> removed,
        @JsonProperty("cs") long checksum,
        @JsonProperty("se") boolean isReplicated)
        implements Message {
    /** Replaces missing optional fields. */
    public ConfigDeltaMessage {
        changed = changed == null ? Map.of() : Map.copyOf(changed);
        removed = removed == null ? List.of() : List.copyOf(removed);
    }
}
